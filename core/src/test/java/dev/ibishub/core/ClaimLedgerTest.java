package dev.ibishub.core;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.assertj.core.api.ThrowableAssert.ThrowingCallable;
import org.junit.jupiter.api.Test;

class ClaimLedgerTest {
  private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
  private static final ProcessIncarnation SELF = new ProcessIncarnation("agent-1", 1);
  private static final ProcessIncarnation OTHER = new ProcessIncarnation("agent-2", 1);
  private static final Duration LIFETIME = Duration.ofMinutes(10);
  private static final ClaimLedgerOptions OPTIONS =
      new ClaimLedgerOptions(LIFETIME, Duration.ofMinutes(11), Duration.ofSeconds(5), 3);
  private static final IdempotencyKey KEY = key(NOW, "k");

  private final ClaimLedger ledger = ClaimLedger.create(SELF, OPTIONS);

  @Test
  void returnsNoResultForKeyWithoutRecord() {
    assertThat(ledger.tryClaim(request(KEY, "a"), NOW)).isEmpty();
  }

  @Test
  void firstClaimOnLogWinsAtEveryReader() {
    // Guards against a call that runs twice: a caller sent it to two entries, their agents both
    // claimed the key, and each agent finds its own claim on the log.
    ClaimLedger other = ClaimLedger.create(OTHER, OPTIONS);
    for (ProcessIncarnation owner : new ProcessIncarnation[] {OTHER, SELF}) {
      ledger.apply(record(owner, KEY), NOW);
      other.apply(record(owner, KEY), NOW);
    }

    assertThat(ledger.tryClaim(request(KEY, "a"), NOW)).contains(new ClaimResult.HeldBy(OTHER));
    assertThat(other.tryClaim(request(KEY, "b"), NOW)).contains(new ClaimResult.Won());
  }

  @Test
  void callIsWonOnceThenReportedAsRunningAndThenAsEnded() {
    ledger.apply(record(SELF, KEY), NOW);

    assertThat(ledger.tryClaim(request(KEY, "a"), NOW)).contains(new ClaimResult.Won());
    assertThat(ledger.tryClaim(request(KEY, "b"), NOW)).contains(new ClaimResult.RunningHere("a"));
    ledger.finished(CLAIM_KEY, "a");
    assertThat(ledger.tryClaim(request(KEY, "c"), NOW)).contains(new ClaimResult.FinishedHere("a"));
  }

  @Test
  void callThatWasNotStartedCanBeWonAgain() {
    ledger.apply(record(SELF, KEY), NOW);
    ledger.tryClaim(request(KEY, "a"), NOW);
    ledger.notStarted(CLAIM_KEY, "a");

    assertThat(ledger.tryClaim(request(KEY, "b"), NOW)).contains(new ClaimResult.Won());
    ledger.notStarted(CLAIM_KEY, "a");
    assertThat(ledger.tryClaim(request(KEY, "c"), NOW)).contains(new ClaimResult.RunningHere("b"));
  }

  @Test
  void claimOfEarlierIncarnationIsHeldByThatIncarnation() {
    // Guards against a call that runs twice: the agent crashed during the call, restarted, and
    // finds the claim of its earlier incarnation on the log.
    ProcessIncarnation before = new ProcessIncarnation("agent-1", 0);
    ledger.apply(record(before, KEY), NOW);

    assertThat(ledger.tryClaim(request(KEY, "a"), NOW)).contains(new ClaimResult.HeldBy(before));
  }

  @Test
  void equalKeyOfAnotherWorkspaceIsAnotherClaim() {
    ledger.apply(record(OTHER, KEY), NOW);
    ClaimRequest request = new ClaimRequest("elsewhere", KEY, 1, "a", NOW.plusSeconds(1));

    assertThat(ledger.tryClaim(request, NOW)).isEmpty();
  }

  @Test
  void keyUsedForAnotherCallIsRefused() {
    ledger.apply(record(SELF, KEY), NOW);
    ClaimRequest request = new ClaimRequest("w", KEY, 2, "a", NOW.plusSeconds(1));

    assertRefused(ResultCode.IDEMPOTENCY_KEY_REUSED, () -> ledger.tryClaim(request, NOW));
  }

  @Test
  void keyOlderThanItsLifetimeIsRefused() {
    // Guards against a call that runs twice: a caller was offline for a day and repeats its request
    // after the log's retention has deleted the claim of the first try.
    Instant late = NOW.plus(LIFETIME);

    assertRefused(
        ResultCode.IDEMPOTENCY_KEY_EXPIRED, () -> ledger.tryClaim(request(KEY, "a"), late));
  }

  @Test
  void keyFromTheFutureIsRefused() {
    // Such a key would still be valid after the log has deleted its claim.
    IdempotencyKey future = key(NOW.plusSeconds(6), "k");

    assertRefused(ResultCode.MALFORMED_REQUEST, () -> ledger.tryClaim(request(future, "a"), NOW));
  }

  @Test
  void claimAppliedAfterKeyLifetimeIsIgnored() {
    Instant late = NOW.plus(LIFETIME);
    ledger.apply(record(SELF, KEY), late);

    assertRefused(
        ResultCode.IDEMPOTENCY_KEY_EXPIRED, () -> ledger.tryClaim(request(KEY, "a"), late));
  }

  @Test
  void keyStaysExpiredWhenClockIsSetBack() {
    // Guards against a call that runs at two agents: this agent's clock is ahead, so it skips the
    // other agent's claim as too old; after the clock is corrected, its own later claim must not
    // count as the first.
    ledger.apply(record(OTHER, KEY), NOW.plus(LIFETIME));
    ledger.apply(record(SELF, KEY), NOW);

    assertRefused(
        ResultCode.IDEMPOTENCY_KEY_EXPIRED, () -> ledger.tryClaim(request(KEY, "a"), NOW));
  }

  @Test
  void keyOfEvictedClaimIsRefused() {
    // Memory stays bounded under a flood of keys, and a key whose claim was evicted must not count
    // as new, or its call would run twice.
    for (int second = 0; second < 10; second++) {
      ledger.apply(record(OTHER, key(NOW.plusSeconds(second), "k" + second)), NOW);
    }

    assertThat(ledger.size()).isEqualTo(3);
    IdempotencyKey evicted = key(NOW.plusSeconds(2), "k2");
    assertRefused(
        ResultCode.IDEMPOTENCY_KEY_EXPIRED,
        () -> ledger.tryClaim(request(evicted, "a"), NOW.plusSeconds(2)));
    IdempotencyKey kept = key(NOW.plusSeconds(9), "k9");
    Optional<ClaimResult> known = ledger.tryClaim(request(kept, "a"), NOW.plusSeconds(9));
    assertThat(known).contains(new ClaimResult.HeldBy(OTHER));
  }

  @Test
  void optionsRejectRetentionShorterThanKeyLifetimeAndSkew() {
    assertThatThrownBy(
            () ->
                new ClaimLedgerOptions(
                    LIFETIME, LIFETIME.plusSeconds(14), Duration.ofSeconds(5), 3))
        .isInstanceOf(IllegalArgumentException.class);
  }

  private static final ClaimKey CLAIM_KEY = new ClaimKey("w", KEY.text());

  private static IdempotencyKey key(Instant time, String name) {
    return IdempotencyKey.parse(time + "/" + name);
  }

  private static ClaimRecord record(ProcessIncarnation owner, IdempotencyKey key) {
    return new ClaimRecord(owner, "w", key, 1);
  }

  private static ClaimRequest request(IdempotencyKey key, String attemptId) {
    return new ClaimRequest("w", key, 1, attemptId, NOW.plusSeconds(60));
  }

  private static void assertRefused(ResultCode code, ThrowingCallable call) {
    assertThatThrownBy(call)
        .isInstanceOfSatisfying(
            ResultException.class, refusal -> assertThat(refusal.code()).isEqualTo(code));
  }
}
