package dev.ibishub.gateway.model;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;

final class EngineProfileTest {
  private static final double SHARE = 0.85;

  private static EngineProfile engine(double requestMillis, int slots) {
    return new EngineProfile(
        slots, 5, requestMillis, 6, 160, 800, 80, 3, 96, 11, 4, 2_200, 44_000, SHARE, 600);
  }

  @Test
  void passOfAFullEngineGrowsWithTheSkew() {
    EngineProfile engine = engine(0.5, 8);

    assertThat(engine.passMillis(1)).isEqualTo(30 + 24 + 10);
    assertThat(engine.passMillis(2)).isCloseTo(30 + 34 * (1 + SHARE), within(0.001));
  }

  // Every answer has pauses that are too long, and no map is made. How uneven ranks may be differs
  // from engine to engine: one that is slow with each request is over the pause at once.
  @Test
  void mapIsMadeSoonerWhereEnginesAreSlower() {
    assertThat(engine(2, 8).startSkew(120)).isLessThan(engine(0.5, 8).startSkew(120));
    assertThat(engine(0.5, 8).startSkew(240)).isGreaterThan(engine(0.5, 8).startSkew(120));
  }

  // No map is ever made, as an engine that states no times never takes too long by its figures.
  @Test
  void engineThatStatesNoTimesGetsMapsToo() {
    EngineProfile silent = new EngineProfile(8, 0, 0, 1, 0, 0, 0, 3, 96, 11, 4, 2_200, 0, 0, 0);

    assertThat(silent.startSkew(120)).isBetween(1.2, 2.0);
    assertThat(silent.passLength(3)).isGreaterThan(2 * silent.passLength(1));
  }

  @Test
  void unevennessThatHalvesWhatAGroupCarriesIsNeverLeftAlone() {
    assertThat(engine(0.1, 8).startSkew(5_000)).isLessThanOrEqualTo(2);
  }

  @Test
  void mapIsMadeWhileAFullPassIsStillInTime() {
    EngineProfile engine = engine(0.5, 8);

    assertThat(engine.passMillis(engine.startSkew(120))).isLessThan(120);
  }

  @Test
  void engineThatNeverMeetsThePauseGetsAMapForAnyUnevenness() {
    assertThat(engine(9, 8).startSkew(120)).isCloseTo(1.2, within(0.001));
  }

  // Half of a second's callers are refused for good after a loss of power, with ranks that would
  // have
  // served them within a second: one request might wait at each, as a second one would be late.
  @Test
  void asManyMayWaitAsGetAPieceInHalfOfTheTimeThatCallersWait() {
    EngineProfile engine = engine(0.5, 8);
    int waiting = engine.waitingPlaces(400);

    assertThat(waiting).isGreaterThan(1);
    assertThat(engine.passMillis(1.2) + waiting * engine.slotFreesMillis()).isLessThan(1_000);
  }

  @Test
  void moreMayWaitWhereSlotsComeFreeSooner() {
    assertThat(engine(0.5, 64).waitingPlaces(400)).isGreaterThan(engine(0.5, 8).waitingPlaces(400));
    assertThat(engine(9, 1).waitingPlaces(0)).isEqualTo(1);
  }

  @Test
  void formingGroupIsWaitedForSomewhatLongerThanStated() {
    assertThat(engine(0.5, 8).formingMillis()).isEqualTo(900);
  }
}
