package dev.ibishub.core.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class SharedLimitsTest {
  private static final String INCARNATION = "t@1";
  private static final OptionalDouble NO_LIMIT = OptionalDouble.empty();

  private final SharedLimits limits = limits("own");

  private static SharedLimits limits(String host) {
    return new SharedLimits(host, LimitDivision.amongFewHolders());
  }

  private static LimitStatement statement(double requestsPerSecond, long statedAt) {
    return new LimitStatement(INCARNATION, OptionalDouble.of(requestsPerSecond), statedAt);
  }

  /** Sends a request in each millisecond in which one is allowed, and returns their number. */
  private static long countSends(SharedLimits limits, long from, long until) {
    return LongStream.range(from, until)
        .filter(now -> limits.allows(INCARNATION, now))
        .peek(now -> limits.onSent(INCARNATION, now))
        .count();
  }

  @Test
  void targetWithoutLimitGetsAllRequests() {
    assertThat(countSends(limits, 0, 1_000)).isEqualTo(1_000);
  }

  @Test
  void onlyEntrySendsAtRateOfLimit() {
    limits.onAnswer(INCARNATION, OptionalDouble.of(2), 0, 10);

    assertThat(countSends(limits, 10, 4_010)).isBetween(7L, 8L);
  }

  // Guards against a burst from each entry that learns of a limit or becomes one of its holders.
  @Test
  void entryThatLearnsOfLimitDoesNotSendAtOnce() {
    limits.onAnswer(INCARNATION, OptionalDouble.of(2), 0, 10);

    assertThat(limits.allows(INCARNATION, 10)).isFalse();
    assertThat(limits.allows(INCARNATION, 509)).isFalse();
    assertThat(limits.allows(INCARNATION, 510)).isTrue();
  }

  @ParameterizedTest
  @CsvSource({"1, 1", "0.5, 1", "3.9, 3", "20, 7"})
  void limitIsDividedAmongOneHolderForEachRequestPerSecond(double limit, int holders) {
    Set<String> hosts = Set.of("1", "2", "3", "4", "5", "6", "7");
    List<Double> shares =
        hosts.stream()
            .map(host -> LimitDivision.amongFewHolders().share(host, hosts, INCARNATION, limit))
            .filter(share -> share > 0)
            .toList();

    assertThat(shares).hasSize(holders).allMatch(share -> share == limit / holders);
  }

  // Guards against a delayed answer that ends a limit which the target still states.
  @Test
  void answerToRequestSentBeforeLimitWasStatedDoesNotEndIt() {
    limits.onAnswer(INCARNATION, OptionalDouble.of(1), 0, 100);

    assertThat(limits.onAnswer(INCARNATION, NO_LIMIT, 90, 200)).isEmpty();
    assertThat(limits.isLimited(INCARNATION)).isTrue();
    assertThat(limits.onAnswer(INCARNATION, NO_LIMIT, 110, 300)).isPresent();
    assertThat(limits.isLimited(INCARNATION)).isFalse();
    assertThat(limits.allows(INCARNATION, 300)).isTrue();
  }

  @Test
  void latestStatementCountsWhicheverEntryReceivedIt() {
    limits.onAnswer(INCARNATION, OptionalDouble.of(1), 0, 100);

    assertThat(limits.onPeerStatement(statement(5, 90), 200)).isFalse();
    assertThat(limits.onPeerStatement(new LimitStatement(INCARNATION, NO_LIMIT, 150), 200))
        .isTrue();
    assertThat(limits.isLimited(INCARNATION)).isFalse();
  }

  // Guards against a limit of 0 whose end no entry ever learns of, as none sends a request.
  @Test
  void targetWithLimitOfZeroStillGetsOccasionalRequests() {
    limits.onPeerStatement(statement(0, 0), 0);

    assertThat(countSends(limits, 0, 9_000)).isEqualTo(1);
  }

  @Test
  void changesAreBroadcastAtOnceAndUnchangedLimitsPeriodically() {
    assertThat(limits.onAnswer(INCARNATION, OptionalDouble.of(1), 0, 100)).isPresent();
    assertThat(limits.onAnswer(INCARNATION, OptionalDouble.of(1), 150, 1_000)).isEmpty();
    assertThat(limits.takeDueBroadcasts()).isEmpty();

    assertThat(limits.onAnswer(INCARNATION, OptionalDouble.of(1), 1_500, 2_100)).isEmpty();
    assertThat(limits.takeDueBroadcasts()).containsExactly(statement(1, 2_100));
    assertThat(limits.takeDueBroadcasts()).isEmpty();
    assertThat(limits.onAnswer(INCARNATION, OptionalDouble.of(3), 2_200, 2_300))
        .contains(statement(3, 2_300));
  }

  // Guards against a target that never gets requests again because the holder of its limit is lost.
  @Test
  void limitThatIsNoLongerStatedExpires() {
    limits.onPeerStatement(statement(1, 0), 0);
    limits.tick(Set.of("own"), SharedLimits.EXPIRY_MILLIS);
    assertThat(limits.isLimited(INCARNATION)).isTrue();

    limits.tick(Set.of("own"), SharedLimits.EXPIRY_MILLIS + 1);
    assertThat(limits.isLimited(INCARNATION)).isFalse();
  }

  @Test
  void lostHolderIsReplacedByAnotherEntry() {
    Set<String> both = Set.of("a", "b");
    SharedLimits first = limits("a");
    SharedLimits second = limits("b");
    List<SharedLimits> entries = List.of(first, second);
    entries.forEach(entry -> entry.onPeerStatement(statement(1, 0), 0));
    entries.forEach(entry -> entry.tick(both, 0));
    List<Long> sends = entries.stream().map(entry -> countSends(entry, 0, 4_000)).toList();
    assertThat(sends).containsExactlyInAnyOrder(3L, 0L);

    int nonHolder = sends.indexOf(0L);
    entries.get(nonHolder).tick(Set.of(List.of("a", "b").get(nonHolder)), 4_000);
    assertThat(countSends(entries.get(nonHolder), 4_000, 8_000)).isEqualTo(3);
  }

  @Test
  void atMostOneOtherEntryChangesItsRoleWhenEntryIsLost() {
    Set<String> hosts =
        IntStream.range(0, 20).mapToObj(Integer::toString).collect(Collectors.toSet());
    Set<String> fewer =
        hosts.stream().filter(host -> !host.equals("7")).collect(Collectors.toSet());
    LimitDivision division = LimitDivision.amongFewHolders();
    long changed =
        fewer.stream()
            .filter(
                host ->
                    (division.share(host, hosts, INCARNATION, 5) > 0)
                        != (division.share(host, fewer, INCARNATION, 5) > 0))
            .count();

    assertThat(changed).isLessThanOrEqualTo(1);
  }

  private static Supplier<Optional<ColdLimit>> cold(double perSecond) {
    return () -> Optional.of(new ColdLimit(perSecond, 1.5, 5));
  }

  private static int sends(SharedLimits limits, String target, long from, long until) {
    int sends = 0;
    for (long now = from; now < until; now += 10) {
      if (limits.allows(target, now)) {
        limits.onSent(target, now);
        sends++;
      }
    }
    return sends;
  }

  // Guards against a target that is cold and states a limit, and gets the higher of both.
  @Test
  void lowerOfColdAndStatedLimitApplies() {
    limits.tickCold(Set.of("own"), 0);
    limits.onCold("a@1", cold(4), false, 60_000, 0);
    limits.onCold("b@1", cold(4), false, 60_000, 0);
    limits.onPeerStatement(new LimitStatement("b@1", OptionalDouble.of(1), 0), 0);
    limits.onPeerStatement(new LimitStatement("c@1", OptionalDouble.of(1), 0), 0);
    assertThat(sends(limits, "a@1", 0, 5_000)).isBetween(18, 20);
    assertThat(sends(limits, "b@1", 0, 5_000)).isEqualTo(sends(limits, "c@1", 0, 5_000));
  }

  // Guards against a limit that outlasts the cold period, or ends with one of several statements.
  @Test
  void coldLimitEndsByItselfAtLatestDeadline() {
    assertThat(limits.onCold("a@1", cold(4), false, 1_000, 0)).isTrue();
    assertThat(limits.onCold("a@1", cold(4), false, 2_000, 500)).isFalse();
    assertThat(limits.onCold("a@1", cold(4), false, 1_500, 600)).isFalse();
    assertThat(limits.allows("a@1", 1_999)).isFalse();
    assertThat(limits.tickCold(Set.of(), 1_999)).isEmpty();
    assertThat(limits.allows("a@1", 2_000)).isTrue();
    assertThat(limits.tickCold(Set.of(), 2_000)).containsExactly("a@1");
  }

  // Guards against an entry that has just started and spends a share that another one has.
  @Test
  void entryWithoutShareSendsNothingToColdTargetOnly() {
    limits.onCold("a@1", cold(4), false, 60_000, 0);
    assertThat(sends(limits, "a@1", 0, 5_000)).isZero();
    assertThat(limits.allows("a@2", 0)).isTrue();
  }

  // Guards against a target in use that turns cold and gets its limit on top of the usual requests
  // of entries that have not learned of it.
  @Test
  void targetInUseThatTurnsColdGetsNothingUntilAllKnow() {
    limits.tickCold(Set.of("own"), 0);
    limits.onCold("a@1", cold(4), true, 60_000, 0);
    assertThat(sends(limits, "a@1", 0, SharedLimits.NEWS_MILLIS)).isZero();
    assertThat(sends(limits, "a@1", SharedLimits.NEWS_MILLIS, 3_000)).isEqualTo(4);
  }

  // Guards against an old limit after a configuration without one or with another one.
  @Test
  void changedColdLimitAppliesAtOnce() {
    AtomicReference<Optional<ColdLimit>> limit = new AtomicReference<>(Optional.empty());
    limits.tickCold(Set.of("own"), 0);
    limits.onCold("a@1", limit::get, false, 60_000, 0);
    assertThat(limits.allows("a@1", 10)).isTrue();
    limit.set(Optional.of(new ColdLimit(1, 1.5, 5)));
    assertThat(sends(limits, "a@1", 10, 5_010)).isEqualTo(4);
    limit.set(Optional.empty());
    assertThat(limits.allows("a@1", 5_010)).isTrue();
  }
}
