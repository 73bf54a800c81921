package dev.ibishub.bench.crashes;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.bench.crashes.PartScenario.Trouble;
import dev.ibishub.core.serving.crashes.CrashFindings;
import dev.ibishub.core.serving.crashes.RequestTrait;
import dev.ibishub.core.serving.crashes.RequestTraits;
import dev.ibishub.core.serving.crashes.SendPermission;
import java.util.Arrays;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests entries, links and targets in virtual time while one part of prompts ends targets. */
final class PartFleetTest {
  private static final long FIRST_SEED = Long.getLong("ibishub.seed", 1);
  private static final long SEEDS = Long.getLong("ibishub.seeds", 8);
  private static final long LENGTH_MILLIS = 40_000;

  /** Guilty requests that may reach targets later than the bound allows. */
  private static final long LATE_ARRIVALS = 3;

  /** Least part of the usual share of sound requests that has to begin at the first attempt. */
  private static final double BEGUN = 0.5;

  private static final int ALLOWED_REFUSALS = 5;
  private static final int REQUESTS_PER_ALLOWED_REFUSAL = 500;

  private static PartScenario scenario(boolean isGroup, double guilty, double crashingShare) {
    return new PartScenario(
        "group %s, %.1f guilty a second".formatted(isGroup, guilty),
        6,
        16,
        isGroup,
        40,
        guilty,
        1,
        1,
        crashingShare,
        false,
        Trouble.NONE,
        LENGTH_MILLIS);
  }

  /** Returns a run in which each part runs at some target that crashes for another reason. */
  private static PartScenario busy() {
    return new PartScenario(
        "busy", 6, 48, false, 300, 0, 1, 1, 0.17, false, Trouble.NONE, LENGTH_MILLIS);
  }

  private static PartScenario silent() {
    return new PartScenario(
        "silent", 6, 16, false, 40, 1.5, 1, 1, 0, true, Trouble.NONE, LENGTH_MILLIS);
  }

  private static Stream<Arguments> scenariosAndTroubles() {
    return Stream.of(
            scenario(false, 1.5, 0),
            scenario(false, 4, 0.17),
            scenario(false, 20, 0),
            scenario(true, 1.5, 0),
            scenario(true, 4, 0.03),
            silent())
        .flatMap(
            scenario ->
                Arrays.stream(Trouble.values())
                    .map(trouble -> Arguments.of(scenario.with(trouble), trouble)));
  }

  private static Stream<PartFleet.Outcome> outcomes(
      PartScenario scenario, Supplier<PartPolicy> policy) {
    return LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS)
        .mapToObj(seed -> new PartFleet(scenario, policy, seed).run());
  }

  // Guards against more targets that end under one part, and against sound requests refused for it,
  // while entries start, are cut off, stand still, hear late or lose power.
  @ParameterizedTest(name = "{0}")
  @MethodSource("scenariosAndTroubles")
  void partIsStoppedAndOthersServed(PartScenario scenario, Trouble trouble) {
    outcomes(scenario, PartPolicy::quarantine)
        .forEach(
            outcome -> {
              String described = "%s, %s: %s".formatted(scenario.name(), trouble, outcome);
              assertThat(outcome.arrivalsAfterBound())
                  .as(described)
                  .isLessThanOrEqualTo(LATE_ARRIVALS);
              assertThat(outcome.soundQuarantined()).as(described).isZero();
              assertThat(outcome.begunLateShare())
                  .as(described)
                  .isGreaterThan(BEGUN * outcome.begunShare());
              assertThat(outcome.disagreeing()).as(described).isZero();
            });
  }

  // Guards against sound requests refused as targets end for other reasons, many at once.
  @Test
  void noPartIsBlamedForOtherCrashes() {
    Stream.of(scenario(false, 0, 0.17), busy())
        .flatMap(scenario -> outcomes(scenario, PartPolicy::quarantine))
        .forEach(
            outcome -> {
              assertThat(outcome.soundQuarantined()).as("%s", outcome).isZero();
              assertThat(outcome).matches(PartFleetTest::hasFewRefusals, "few refusals");
            });
  }

  // Guards against a test that would pass without the mechanism that it is for.
  @Test
  void wrongPoliciesAreCaught() {
    PartScenario quick = scenario(false, 4, 0);
    assertThat(mostLate(quick, PartPolicy::wholeRequests))
        .as("crashes remembered by whole requests")
        .isGreaterThan(LATE_ARRIVALS);
    assertThat(mostLate(quick, Mutant.of(Mutant.Kind.NO_SHARING)))
        .as("each entry learns for itself")
        .isGreaterThan(LATE_ARRIVALS);
    assertThat(outcomes(busy(), Mutant.of(Mutant.Kind.NO_CLEARING)))
        .as("answers clear nothing")
        .noneMatch(PartFleetTest::hasFewRefusals);
    assertThat(mostLate(overTrial(), Mutant.of(Mutant.Kind.TRIALS_BY_EACH)))
        .as("each entry makes trials")
        .isGreaterThan(LATE_ARRIVALS);
    assertThat(mostLate(overTrial(), PartPolicy::quarantine))
        .as("trials by one entry")
        .isLessThanOrEqualTo(LATE_ARRIVALS);
  }

  /** Returns a run that is longer than the time to the first trial. */
  private static PartScenario overTrial() {
    return new PartScenario("trial", 6, 16, false, 20, 4, 1, 1, 0, false, Trouble.NONE, 340_000);
  }

  /** Whether no more sound requests are refused than the platform allows of its entries. */
  private static boolean hasFewRefusals(PartFleet.Outcome outcome) {
    return outcome.soundQuarantined() + outcome.soundSuspected()
        <= ALLOWED_REFUSALS + outcome.soundOffered() / REQUESTS_PER_ALLOWED_REFUSAL;
  }

  private static long mostLate(PartScenario scenario, Supplier<PartPolicy> policy) {
    return outcomes(scenario, policy)
        .mapToLong(PartFleet.Outcome::arrivalsAfterBound)
        .max()
        .orElseThrow();
  }

  /** The policy of the entries with one thing left out. */
  private static final class Mutant extends PartPolicy.QuarantinePolicy {
    enum Kind {
      NO_SHARING,
      NO_CLEARING,
      TRIALS_BY_EACH
    }

    private final Kind kind;

    private Mutant(Kind kind) {
      this.kind = kind;
    }

    static Supplier<PartPolicy> of(Kind kind) {
      return () -> new Mutant(kind);
    }

    @Override
    public SendPermission permission(RequestTraits request, boolean mayTry, long now) {
      return super.permission(request, mayTry || kind == Kind.TRIALS_BY_EACH, now);
    }

    @Override
    public CrashFindings onSent(RequestTraits request, long now) {
      CrashFindings findings = super.onSent(request, now);
      return kind == Kind.TRIALS_BY_EACH ? CrashFindings.NONE : findings;
    }

    @Override
    public CrashFindings onAnswerBegun(String service, Set<RequestTrait> parts, long now) {
      return super.onAnswerBegun(service, kind == Kind.NO_CLEARING ? Set.of() : parts, now);
    }

    @Override
    public CrashFindings onReport(CrashFindings report) {
      return kind == Kind.NO_SHARING ? CrashFindings.NONE : super.onReport(report);
    }

    @Override
    public CrashFindings all() {
      return kind == Kind.NO_SHARING ? CrashFindings.NONE : super.all();
    }
  }
}
