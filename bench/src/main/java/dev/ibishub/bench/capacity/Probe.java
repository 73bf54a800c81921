package dev.ibishub.bench.capacity;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.function.IntConsumer;
import java.util.function.Supplier;

/** Measures processor time, allocation and retained memory of this thread's work. */
final class Probe {
  private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();
  private static final int ROUNDS = 7;
  private static final int COLLECTIONS = 3;
  private static final double NANOS_PER_MICRO = 1000;

  private Probe() {}

  /**
   * Runs an action many times and takes the round that cost least, since other load on the machine
   * only ever adds.
   */
  static Cost costOf(int calls, IntConsumer action) {
    double micros = Double.MAX_VALUE;
    double bytes = Double.MAX_VALUE;
    for (int round = 0; round < ROUNDS; round++) {
      long allocated = THREADS.getCurrentThreadAllocatedBytes();
      long nanos = THREADS.getCurrentThreadCpuTime();
      for (int call = 0; call < calls; call++) {
        action.accept(call);
      }
      micros =
          Math.min(micros, (THREADS.getCurrentThreadCpuTime() - nanos) / NANOS_PER_MICRO / calls);
      bytes =
          Math.min(bytes, (double) (THREADS.getCurrentThreadAllocatedBytes() - allocated) / calls);
    }
    return new Cost(micros, bytes);
  }

  /** Bytes that what the supplier makes holds on to. */
  static double retainedBytes(Supplier<Object> supplier) {
    long before = usedBytes();
    Object kept = supplier.get();
    long after = usedBytes();
    if (kept.hashCode() == 0) {
      System.err.print("");
    }
    return Math.max(0, after - before);
  }

  private static long usedBytes() {
    for (int collection = 0; collection < COLLECTIONS; collection++) {
      System.gc();
    }
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  /**
   * What one call costs.
   *
   * @param micros processor time in microseconds
   * @param bytes allocated
   */
  record Cost(double micros, double bytes) {}
}
