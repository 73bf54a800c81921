package dev.ibishub.core;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.core.ConcurrencyLimit.Sample;
import java.time.Instant;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class ConcurrencyLimitTest {
  private static final Instant NOW = Instant.parse("2026-12-02T00:00:00Z");

  private final ConcurrencyLimit limit =
      ConcurrencyLimit.create(new ConcurrencyLimitOptions(2, 4, 8, 0.025, 2, 1));

  @Test
  void givesReservedPermitsToUrgentWorkOnly() {
    IntStream.range(0, 4).forEach(number -> limit.tryAcquire());

    assertThat(limit.tryAcquire()).isFalse();
    assertThat(limit.tryAcquireReserved()).isTrue();
    assertThat(limit.tryAcquireReserved()).isFalse();
  }

  @Test
  void growsWhileTokensAreFastAndLimitIsUsed() {
    IntStream.range(0, 100).forEach(number -> runUpToLimit(0.010));

    assertThat(limit.limit()).isEqualTo(8);
  }

  @Test
  void fallsToMinimumWhileTokensAreSlow() {
    runUpToLimit(0.010);
    IntStream.range(0, 100).forEach(number -> runUpToLimit(0.200));

    assertThat(limit.limit()).isEqualTo(2);
  }

  @Test
  void staysUnchangedWhileHardlyUsed() {
    IntStream.range(0, 100)
        .forEach(
            number -> {
              limit.tryAcquire();
              limit.release(sample(0.010));
            });

    assertThat(limit.limit()).isEqualTo(4);
  }

  private void runUpToLimit(double secondsPerToken) {
    int started = (int) IntStream.range(0, 8).takeWhile(number -> limit.tryAcquire()).count();
    IntStream.range(0, started).forEach(number -> limit.release(sample(secondsPerToken)));
  }

  private static Sample sample(double secondsPerToken) {
    long nanos = (long) (100 * secondsPerToken * 1e9);
    return new Sample(NOW, NOW.plusNanos(nanos), 100, false);
  }
}
