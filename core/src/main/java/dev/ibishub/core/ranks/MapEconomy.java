package dev.ibishub.core.ranks;

import java.util.function.DoubleUnaryOperator;

/**
 * What a map costs and gains: copying takes time in which the old map stays in use and passes are
 * longer, and the map shortens passes as long as the demand stands for which it was made. Immutable
 * and thread-safe.
 *
 * @param passMillis how long a pass takes at a skew, milliseconds
 * @param fetchMillis how long a rank copies one expert, milliseconds
 * @param switchMillis what passes besides the copying until all ranks use the map, milliseconds
 * @param copyingSlowdown by what part of their length passes are longer while a rank copies
 * @param demandMillis how long the demand is expected to stand, milliseconds
 */
public record MapEconomy(
    DoubleUnaryOperator passMillis,
    double fetchMillis,
    double switchMillis,
    double copyingSlowdown,
    double demandMillis) {

  /**
   * Takes a switch for at most half of what the demand stands. A group that was held for seconds
   * once would otherwise get no map any more: each would seem to come too late, and without a new
   * one no shorter switch is ever seen.
   */
  public MapEconomy {
    switchMillis = Math.min(switchMillis, demandMillis / 2);
  }

  /**
   * Returns what a map gains in the end.
   *
   * @param map the map
   * @param skewNow the skew of the map in use
   * @return milliseconds of the group's work; negative where the map costs more than it gains
   */
  double gain(Step map, double skewNow) {
    double rest = demandMillis - readyMillis(map);
    return rest * saved(map, skewNow) - copyingCost(map);
  }

  /** Returns what a map gains that is followed by a further one, which is copied on top of it. */
  double gain(Step first, Step second, double skewNow) {
    double between = (second.fetches() - first.fetches()) * fetchMillis + switchMillis;
    double rest = demandMillis - readyMillis(first) - between;
    return between * saved(first, skewNow) + rest * saved(second, skewNow) - copyingCost(second);
  }

  /**
   * A map on the way to an even one.
   *
   * @param fetches how many experts the rank that fetches most has to fetch to come to it
   * @param skew the skew that it has
   */
  record Step(int fetches, double skew) {}

  private double readyMillis(Step map) {
    return map.fetches() * fetchMillis + switchMillis;
  }

  private double copyingCost(Step map) {
    return map.fetches() * fetchMillis * copyingSlowdown;
  }

  /** Part of the group's time that a map saves. */
  private double saved(Step map, double skewNow) {
    return 1 - passMillis.applyAsDouble(map.skew()) / passMillis.applyAsDouble(skewNow);
  }
}
