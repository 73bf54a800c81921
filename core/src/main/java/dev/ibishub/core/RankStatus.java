package dev.ibishub.core;

import java.util.List;

/**
 * State of a rank as its engine reports it when ibishub runs behind its own interface; {@code
 * dev.ibishub.core.ranks.RankView} is its counterpart on the platform of its users.
 *
 * @param engineStart random number drawn at each start of the engine
 * @param step the last step that began
 * @param mapVersion version of the map in use, 0 for none
 * @param stagedMapVersion version of the staged map, 0 for none
 * @param holdStep the step that is held back, 0 for none
 * @param committedMapVersion version of the map that is committed but not yet in use, 0 for none
 * @param committedStep the step from which the committed map is used
 * @param map the serialized map in use, empty if not requested
 * @param expertPopularity tokens routed to each expert over the last second
 * @param stepMillis mean duration of this rank's own part of a step, milliseconds
 */
@SuppressWarnings("ArrayRecordComponent") // Passed through, never compared or hashed.
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

  /** Whether the engine has just started: it has no map, so it cannot begin a step. */
  public boolean isFresh() {
    return mapVersion == 0;
  }
}
