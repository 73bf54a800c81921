package dev.ibishub.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class RetryBudgetTest {
  private static final Instant NOW = Instant.parse("2026-12-02T00:00:00Z");

  /**
   * Guards against a retry storm: if every failed attempt is retried, a short fault does not end,
   * because the targets get several times the load under which they failed.
   */
  @Test
  void limitsRetriesToShareOfRequests() {
    RetryBudget budget = RetryBudget.create(0.1, 0);

    long retries =
        IntStream.range(0, 1000)
            .filter(
                number -> {
                  budget.onRequest();
                  return budget.tryRetry(NOW);
                })
            .count();

    assertThat(retries).isBetween(95L, 105L);
  }

  @Test
  void allowsOccasionalRetryWithoutRequests() {
    RetryBudget budget = RetryBudget.create(0, 0.1);

    assertThat(budget.tryRetry(NOW)).isTrue();
    assertThat(budget.tryRetry(NOW)).isFalse();
    assertThat(budget.tryRetry(NOW.plusSeconds(11))).isTrue();
  }

  @Test
  void savesUpAtMostOneHundredRetriesWhileIdle() {
    RetryBudget budget = RetryBudget.create(0, 1);
    budget.tryRetry(NOW);
    Instant later = NOW.plusSeconds(86_400);

    assertThat(IntStream.range(0, 1000).filter(number -> budget.tryRetry(later)).count())
        .isLessThanOrEqualTo(100);
  }
}
