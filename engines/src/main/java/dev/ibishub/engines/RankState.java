package dev.ibishub.engines;

import java.util.List;

/**
 * State of one rank of a group.
 *
 * @param engineStart drawn anew at each start of the engine
 * @param group name of the group, or empty
 * @param rank number of the rank
 * @param step the last step begun
 * @param mapVersion the map that step used
 * @param stagedMapVersion the map staged, 0 for none
 * @param holdStep the step held back, 0 for none
 * @param committedMapVersion the map committed and not yet in use, 0 for none
 * @param committedStep from which step on
 * @param map the bytes of the map in use
 * @param expertPopularity tokens by expert over the last second, all layers added
 * @param stepMillis mean time of this rank's own part of a step over the last second, milliseconds
 */
@SuppressWarnings("ArrayRecordComponent") // Handed on, never compared or hashed.
public record RankState(
    long engineStart,
    String group,
    int rank,
    long step,
    long mapVersion,
    long stagedMapVersion,
    long holdStep,
    long committedMapVersion,
    long committedStep,
    byte[] map,
    List<Double> expertPopularity,
    double stepMillis) {}
