package dev.ibishub.core.ranks;

import java.util.function.DoubleUnaryOperator;

/**
 * Model of the cost and gain of a map. During the fetches the old map stays in use and steps are
 * slower; afterwards steps are faster for as long as the demand persists that the map was made for.
 * Immutable and thread-safe.
 *
 * @param stepMillis duration of a step at a given skew, milliseconds
 * @param fetchMillis time for a rank to fetch one expert, milliseconds
 * @param switchMillis time besides the fetches until all ranks use the map, milliseconds
 * @param fetchSlowdown relative increase of the step duration while a rank fetches
 * @param demandLifetimeMillis how long the demand is expected to persist, milliseconds
 */
public record MapCostModel(
    DoubleUnaryOperator stepMillis,
    double fetchMillis,
    double switchMillis,
    double fetchSlowdown,
    double demandLifetimeMillis) {

  /**
   * Limits the time of a switch to half of the time that the demand persists. Otherwise a group
   * whose switch once stalled for seconds would get no further map: every map would seem too late,
   * and without a new one no shorter switch would ever be observed.
   */
  public MapCostModel {
    switchMillis = Math.min(switchMillis, demandLifetimeMillis / 2);
  }

  /**
   * Returns the net gain of a map.
   *
   * @param map the map
   * @param skewNow the skew of the map in use
   * @return milliseconds of the group's work; negative if the map costs more than it gains
   */
  double gain(MapProfile map, double skewNow) {
    double remainingMillis = demandLifetimeMillis - readyMillis(map);
    return remainingMillis * savedFraction(map, skewNow) - fetchCost(map);
  }

  /** Returns the net gain of a map followed by another one that builds on it. */
  double gain(MapProfile first, MapProfile second, double skewNow) {
    double untilSecondMillis = (second.fetches() - first.fetches()) * fetchMillis + switchMillis;
    double remainingMillis = demandLifetimeMillis - readyMillis(first) - untilSecondMillis;
    return untilSecondMillis * savedFraction(first, skewNow)
        + remainingMillis * savedFraction(second, skewNow)
        - fetchCost(second);
  }

  /**
   * Properties of a map that determine its cost and gain.
   *
   * @param fetches maximum number of experts that any one rank must fetch for it
   * @param skew its skew
   */
  record MapProfile(int fetches, double skew) {}

  private double readyMillis(MapProfile map) {
    return map.fetches() * fetchMillis + switchMillis;
  }

  private double fetchCost(MapProfile map) {
    return map.fetches() * fetchMillis * fetchSlowdown;
  }

  /** Returns the fraction of the group's time that a map saves. */
  private double savedFraction(MapProfile map, double skewNow) {
    return 1 - stepMillis.applyAsDouble(map.skew()) / stepMillis.applyAsDouble(skewNow);
  }
}
