package dev.ibishub.agent;

import com.google.protobuf.UnsafeByteOperations;
import dev.ibishub.core.AnswerEnd;
import dev.ibishub.core.NumberedChunk;
import dev.ibishub.core.ResultException;
import dev.ibishub.core.StreamBuffer;
import dev.ibishub.wire.AnswerEnds;
import dev.ibishub.wire.Link;
import dev.ibishub.wire.generated.Chunk;
import dev.ibishub.wire.generated.Frame;
import dev.ibishub.wire.generated.Started;
import java.util.List;
import java.util.Optional;

/**
 * Sends one attempt's answer to one entry under credit-based flow control: never more chunks than
 * the entry has granted. The chunks for a slow caller stay in the agent's buffer and take no space
 * in the entry or on the link. Used behind ibishub's own interface. Thread-safe.
 */
final class AnswerRelay {
  private static final int BATCH_CHUNKS = 64;

  private final Link link;
  private final StreamBuffer buffer;
  private final int window;
  private long next;
  private long credit;
  private long granted;
  private boolean finished;

  AnswerRelay(Link link, StreamBuffer buffer, long fromChunk, int credit) {
    this.link = link;
    this.buffer = buffer;
    this.next = fromChunk;
    this.window = credit;
    this.credit = credit;
  }

  Link link() {
    return link;
  }

  void sendStarted() {
    Started started = Started.newBuilder().setAttemptId(buffer.attemptId()).build();
    link.offer(Frame.newBuilder().setStarted(started).build());
  }

  /** Adds credit, in chunks, and sends what it covers. */
  void credit(int chunks) {
    synchronized (this) {
      credit += chunks;
      granted += chunks;
      buffer.acknowledge(granted);
    }
    pump();
  }

  /** Sends buffered chunks as far as the credit reaches, then the end if all chunks are sent. */
  synchronized void pump() {
    while (!finished && credit > 0) {
      List<NumberedChunk> chunks = read();
      if (chunks.isEmpty()) {
        break;
      }
      chunks.forEach(this::send);
    }
    finishIfAllSent();
  }

  synchronized boolean isFinished() {
    return finished;
  }

  private List<NumberedChunk> read() {
    try {
      return buffer.read(next, (int) Math.min(credit, BATCH_CHUNKS));
    } catch (ResultException lost) {
      finish(AnswerEnd.failure(lost));
      return List.of();
    }
  }

  private void send(NumberedChunk chunk) {
    link.offer(
        Frame.newBuilder()
            .setChunk(
                Chunk.newBuilder()
                    .setAttemptId(buffer.attemptId())
                    .setNumber(chunk.number())
                    .setData(UnsafeByteOperations.unsafeWrap(chunk.data())))
            .build());
    next = chunk.number() + 1;
    credit--;
  }

  private void finishIfAllSent() {
    Optional<AnswerEnd> end = buffer.ending();
    if (!finished && end.isPresent() && next >= end.get().chunkCount()) {
      finish(end.get());
    }
  }

  private void finish(AnswerEnd end) {
    finished = true;
    buffer.acknowledge(window + granted);
    link.offer(Frame.newBuilder().setEnd(AnswerEnds.toWire(buffer.attemptId(), end)).build());
  }
}
