package dev.ibishub.wire;

import java.util.concurrent.atomic.AtomicLong;

/** Memory for the incomplete frames of all links of a process. Thread-safe. */
final class FrameMemory {
  private final AtomicLong reserved = new AtomicLong();
  private final long limitBytes;

  FrameMemory(long limitBytes) {
    this.limitBytes = limitBytes;
  }

  /** Reserves memory for a frame; reserves nothing where there is no room. */
  boolean tryReserve(long bytes) {
    return reserved.getAndUpdate(before -> before + bytes <= limitBytes ? before + bytes : before)
        <= limitBytes - bytes;
  }

  void release(long bytes) {
    reserved.addAndGet(-bytes);
  }
}
