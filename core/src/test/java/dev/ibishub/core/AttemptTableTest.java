package dev.ibishub.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class AttemptTableTest {
  private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
  private static final Instant DEADLINE = NOW.plusSeconds(10);
  private static final Duration SKEW = Duration.ofSeconds(5);

  private final AttemptTable table =
      AttemptTable.create(new AttemptTableOptions(2, 8, Duration.ofMinutes(1), SKEW));

  @Test
  void startsQueuedAttemptOnce() {
    assertThat(table.offer("a", DEADLINE, NOW)).isEqualTo(OfferResult.QUEUED);

    assertThat(table.tryStart("a", NOW)).isTrue();
    assertThat(table.tryStart("a", NOW)).isFalse();
  }

  @Test
  void ignoresLateDuplicateOfFinishedAttempt() {
    // Guards against running an attempt twice: its dispatch is delivered, run to the end, and
    // delivered again by a slow connection.
    table.offer("a", DEADLINE, NOW);
    table.tryStart("a", NOW);
    table.finished("a", NOW);

    assertThat(table.offer("a", DEADLINE, NOW)).isEqualTo(OfferResult.DUPLICATE);
  }

  @Test
  void doesNotRefuseAttemptThatMayHaveBeenRemovedAfterItRan() {
    // Guards against "not run" for a call that ran: a copy of its dispatch arrives after the agent
    // has removed the finished attempt, and is refused as too late.
    table.offer("a", DEADLINE, NOW);
    table.tryStart("a", NOW);
    table.finished("a", NOW);
    table.expire(DEADLINE.plus(SKEW));
    assertThat(table.size()).isZero();

    assertThat(table.offer("a", DEADLINE, DEADLINE.plus(SKEW))).isEqualTo(OfferResult.DUPLICATE);
  }

  @Test
  void refusesAttemptOfferedAtItsDeadline() {
    assertThat(table.offer("a", DEADLINE, DEADLINE)).isEqualTo(OfferResult.REVOKED);
    assertThat(table.tryStart("a", DEADLINE)).isFalse();
  }

  @Test
  void doesNotRevokeStartedAttempt() {
    table.offer("a", DEADLINE, NOW);
    table.tryStart("a", NOW);

    assertThat(table.revoke("a", NOW)).isFalse();
    table.finished("a", NOW);
    assertThat(table.revoke("a", NOW)).isFalse();
  }

  @Test
  void neverStartsRevokedAttempt() {
    table.offer("a", DEADLINE, NOW);

    assertThat(table.revoke("a", NOW)).isTrue();
    assertThat(table.revoke("a", NOW)).isTrue();
    assertThat(table.tryStart("a", NOW)).isFalse();
  }

  @Test
  void neverStartsDispatchThatArrivesAfterItsRevocation() {
    // Guards against a second run after "not run": the entry gives up and revokes, and the
    // revocation overtakes the dispatch, which then reaches an agent that does not know the
    // attempt.
    assertThat(table.revoke("a", NOW)).isTrue();

    assertThat(table.offer("a", DEADLINE, NOW.plusSeconds(9))).isEqualTo(OfferResult.REVOKED);
    assertThat(table.tryStart("a", NOW.plusSeconds(9))).isFalse();
  }

  @Test
  void keepsTombstoneForLongestDeadlineOnSkewedClock() {
    // As above, but the dispatch has the longest deadline, set by an entry whose clock is ahead.
    Instant longest = NOW.plus(Duration.ofMinutes(1)).plus(SKEW);
    table.revoke("a", NOW);

    table.expire(longest.minusNanos(1));

    assertThat(table.offer("a", longest, longest.minusNanos(1))).isEqualTo(OfferResult.REVOKED);
    table.expire(longest.plus(SKEW));
    assertThat(table.size()).isZero();
  }

  @Test
  void refusesDeadlineThatTombstoneMightNotOutlive() {
    Instant tooFar = NOW.plus(Duration.ofMinutes(1)).plus(SKEW).plusNanos(1);

    assertThat(table.offer("a", tooFar, NOW)).isEqualTo(OfferResult.REVOKED);
  }

  @Test
  void revokesQueuedAttemptWhoseDeadlinePassed() {
    table.offer("a", DEADLINE, NOW);

    assertThat(table.tryStart("a", DEADLINE)).isFalse();
    assertThat(table.revoke("a", DEADLINE)).isTrue();
    assertThat(table.tryStart("a", NOW)).isFalse();
  }

  @Test
  void keepsRunningAttemptPastItsDeadline() {
    table.offer("a", DEADLINE, NOW);
    table.tryStart("a", NOW);

    table.expire(DEADLINE.plusSeconds(60));
    assertThat(table.revoke("a", DEADLINE.plusSeconds(60))).isFalse();

    table.finished("a", DEADLINE.plusSeconds(60));
    assertThat(table.size()).isZero();
  }

  @Test
  void refusesOffersAndRevocationsWhileFull() {
    // A flood of revocations must not grow the agent's memory. For an attempt that it can't record
    // the agent answers "may have started", so the caller gets "outcome unknown".
    for (int i = 0; i < 100; i++) {
      table.revoke("flood" + i, NOW);
    }

    assertThat(table.size()).isEqualTo(8);
    assertThat(table.offer("a", DEADLINE, NOW)).isEqualTo(OfferResult.REVOKED);
    assertThat(table.revoke("b", NOW)).isFalse();
  }
}
