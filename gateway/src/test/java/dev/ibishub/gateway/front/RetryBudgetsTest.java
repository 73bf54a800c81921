package dev.ibishub.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.core.serving.RetryLimits;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class RetryBudgetsTest {
  private static final long WINDOW_MILLIS = 10_000;

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final RetryBudgets budgets =
      new RetryBudgets(new RetryLimits(0.1, 30, WINDOW_MILLIS), 0, false, registry);

  private long granted(long now) {
    return IntStream.range(0, 100).filter(any -> budgets.tryRetry("pages", now)).count();
  }

  // Guards against an entry that restarts and has no part of the allowance for a whole window.
  @Test
  void restartedEntryHasPartOfAllowanceOnceItHearsOthers() {
    assertThat(granted(0)).isZero();

    budgets.onEntries(3, 1, 1);
    assertThat(granted(1)).isEqualTo(3);
  }

  // Guards against retries that are refused without a trace for operators.
  @Test
  void refusedRetriesAreCounted() {
    assertThat(granted(0)).isZero();

    assertThat(registry.scrape().stream().filter(CounterSnapshot.class::isInstance))
        .singleElement()
        .satisfies(
            snapshot ->
                assertThat(((CounterSnapshot) snapshot).getDataPoints().get(0).getValue())
                    .isEqualTo(100));
  }
}
