package dev.ibishub.bench.capacity;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.function.IntConsumer;
import java.util.function.Supplier;

/** Measures processor time and allocation of the current thread, and retained memory. */
final class Probe {
  private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();
  private static final int ROUNDS = 7;
  private static final int GARBAGE_COLLECTIONS = 3;
  private static final double NANOS_PER_MICRO = 1000;

  private Probe() {}

  /**
   * Runs an action in several rounds and returns the minimum cost of a call, since other load on
   * the machine can only add to it.
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

  /** Returns the bytes retained by the object that the supplier creates. */
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
    for (int collection = 0; collection < GARBAGE_COLLECTIONS; collection++) {
      System.gc();
    }
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  /**
   * The cost of one call.
   *
   * @param micros processor time in microseconds
   * @param bytes allocated bytes
   */
  record Cost(double micros, double bytes) {}
}
