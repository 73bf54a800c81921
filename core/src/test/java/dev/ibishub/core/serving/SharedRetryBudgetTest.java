package dev.ibishub.core.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class SharedRetryBudgetTest {
  private static final long WINDOW_MILLIS = 10_000;

  private static SharedRetryBudget budget(double retriesPerRequest, double sharedAllowance) {
    RetryLimits limits = new RetryLimits(retriesPerRequest, sharedAllowance, WINDOW_MILLIS);
    return new SharedRetryBudget(() -> limits);
  }

  // Guards against an allowance that is not divided among the entries: each of seven kept within
  // its own budget, but together they sent seven times as many retries to a failing service.
  @Test
  void retriesOfAllEntriesStayWithinBudgetInAnyWindow() {
    int entries = 7;
    Random random = new Random(3);
    List<SharedRetryBudget> budgets =
        IntStream.range(0, entries).mapToObj(i -> budget(0.2, 90)).toList();
    List<Long> requests = new ArrayList<>();
    List<Long> retries = new ArrayList<>();
    for (long now = 0; now < 60_000; now += 10) {
      SharedRetryBudget budget = budgets.get(random.nextInt(entries));
      if (random.nextInt(4) == 0) {
        budget.onRequest(now);
        requests.add(now);
      }
      if (budget.tryRetry(now, entries)) {
        retries.add(now);
      }
    }

    for (long from = 0; from < 50_000; from += 500) {
      assertThat(within(retries, from))
          .as("retries from %d", from)
          .isLessThanOrEqualTo(
              0.2 * within(requests, from - WINDOW_MILLIS, 2 * WINDOW_MILLIS) + 90);
    }
    assertThat(retries).hasSizeGreaterThan(100);
  }

  @Test
  void spentRetriesAreAvailableAgainAfterWindow() {
    SharedRetryBudget budget = budget(0, 7.5);
    IntStream.range(0, 3).forEach(i -> assertThat(budget.tryRetry(0, 1)).isTrue());

    assertThat(budget.tryRetry(1, 1)).isFalse();
    assertThat(budget.tryRetry(WINDOW_MILLIS, 1)).isTrue();
  }

  // Guards against an entry that takes the whole allowance as it has not heard any other entry.
  @Test
  void entryThatKnowsNoOtherSpendsOnlyWhatItsRequestsEarn() {
    SharedRetryBudget budget = budget(0.5, 40);
    assertThat(budget.tryRetry(0, 0)).isFalse();

    IntStream.range(0, 2).forEach(i -> budget.onRequest(0));
    assertThat(budget.tryRetry(0, 0)).isTrue();
    assertThat(budget.tryRetry(0, 0)).isFalse();
    assertThat(budget.tryRetry(0, 2)).isTrue();
  }

  private static double within(List<Long> times, long from) {
    return within(times, from, WINDOW_MILLIS);
  }

  private static double within(List<Long> times, long from, long length) {
    return times.stream().filter(time -> time >= from && time < from + length).count();
  }
}
