package dev.ibishub.gateway.model;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;

final class EngineProfileTest {
  private static final double EXPERT_SHARE = 0.85;

  private static EngineProfile engine(double requestMillis, int slots) {
    return new EngineProfile(
        slots, 5, requestMillis, 6, 160, 800, 80, 3, 96, 11, 4, 2_200, 44_000, EXPERT_SHARE, 600);
  }

  @Test
  void fullPassTakesLongerWithHigherSkew() {
    EngineProfile engine = engine(0.5, 8);

    assertThat(engine.passMillis(1)).isEqualTo(30 + 24 + 10);
    assertThat(engine.passMillis(2)).isCloseTo(30 + 34 * (1 + EXPERT_SHARE), within(0.001));
  }

  // Guards against a fixed skew threshold. Engines that are slow with each request exceed the pause
  // objective at a low skew: every answer had pauses that were too long, and no map was made.
  @Test
  void startSkewIsLowerForSlowerEnginesAndShorterPauses() {
    assertThat(engine(2, 8).startSkew(120)).isLessThan(engine(0.5, 8).startSkew(120));
    assertThat(engine(0.5, 8).startSkew(240)).isGreaterThan(engine(0.5, 8).startSkew(120));
  }

  // Guards against never making a map for engines without stated timing: by their figures, no pass
  // ever exceeds the pause objective.
  @Test
  void startSkewIsBoundedWithoutStatedTiming() {
    EngineProfile untimed = new EngineProfile(8, 0, 0, 1, 0, 0, 0, 3, 96, 11, 4, 2_200, 0, 0, 0);

    assertThat(untimed.startSkew(120)).isBetween(1.2, 2.0);
    assertThat(untimed.relativePassDuration(3)).isGreaterThan(2 * untimed.relativePassDuration(1));
  }

  @Test
  void startSkewIsAtMostTwoForFastEngine() {
    assertThat(engine(0.1, 8).startSkew(5_000)).isLessThanOrEqualTo(2);
  }

  @Test
  void fullPassAtStartSkewMeetsPauseObjective() {
    EngineProfile engine = engine(0.5, 8);

    assertThat(engine.passMillis(engine.startSkew(120))).isLessThan(120);
  }

  @Test
  void startSkewIsMinimalWhenPauseObjectiveIsUnreachable() {
    assertThat(engine(9, 8).startSkew(120)).isCloseTo(1.2, within(0.001));
  }

  // Guards against refusing requests that would still be served in time. After a power failure,
  // half of a second's callers were refused for good although the ranks could have served them
  // within a second: only one request was allowed to queue at each, as a second would be late.
  @Test
  void queuedRequestsStartWithinHalfOfCallersPatience() {
    EngineProfile engine = engine(0.5, 8);
    int queued = engine.queueLimit(400);

    assertThat(queued).isGreaterThan(1);
    assertThat(engine.passMillis(1.2) + queued * engine.slotWaitMillis()).isLessThan(1_000);
  }

  @Test
  void queueIsLongerWhenSlotsBecomeFreeSooner() {
    assertThat(engine(0.5, 64).queueLimit(400)).isGreaterThan(engine(0.5, 8).queueLimit(400));
    assertThat(engine(9, 1).queueLimit(0)).isEqualTo(1);
  }

  @Test
  void groupMayTakeHalfLongerThanStatedToOpen() {
    assertThat(engine(0.5, 8).formationTimeoutMillis()).isEqualTo(900);
  }
}
