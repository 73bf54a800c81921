package dev.ibishub.core;

import java.util.List;

/**
 * What an engine says about its rank.
 *
 * @param engineStart drawn anew at each start of the engine
 * @param step the last step begun
 * @param mapVersion the map in use, 0 for none
 * @param stagedMapVersion the map staged, 0 for none
 * @param holdStep the step held back, 0 for none
 * @param committedMapVersion the map committed and not yet in use, 0 for none
 * @param committedStep from which step on
 * @param map the bytes of the map in use, empty where they are not asked for
 * @param expertPopularity tokens by expert over the last second
 * @param stepMillis mean time of this rank's own part of a step, milliseconds
 */
@SuppressWarnings("ArrayRecordComponent") // Handed on, never compared or hashed.
public record RankStatus(
    long engineStart,
    long step,
    long mapVersion,
    long stagedMapVersion,
    long holdStep,
    long committedMapVersion,
    long committedStep,
    byte[] map,
    List<Double> expertPopularity,
    double stepMillis) {
  public RankStatus {
    expertPopularity = List.copyOf(expertPopularity);
  }

  /** An engine that has just started: no map, so no step can begin. */
  public boolean isFresh() {
    return mapVersion == 0;
  }
}
