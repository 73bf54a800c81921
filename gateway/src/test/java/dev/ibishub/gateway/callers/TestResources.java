package dev.ibishub.gateway.callers;

import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Resources for the connections of tests. */
public final class TestResources {
  private static final int CONNECTIONS = 10_000;
  private static final long STALLED_MILLIS = 60_000;

  private TestResources() {}

  /** Returns resources with half of the heap. */
  public static CallerResources ofHeap() {
    return of(new CallerMemory(() -> 0));
  }

  /** Returns resources with a memory. */
  public static CallerResources of(CallerMemory memory) {
    return CallerResources.create(
        new PrometheusRegistry(), memory, () -> CONNECTIONS, () -> STALLED_MILLIS);
  }
}
