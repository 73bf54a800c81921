package dev.ibishub.engines;

import java.util.List;

/**
 * The state of one rank of a group, as an engine behind ibishub's own interface reports it.
 *
 * @param engineStart a new number drawn at each start of the engine
 * @param group the name of the group, or empty
 * @param rank the number of the rank
 * @param step the last step begun
 * @param mapVersion the version of the map that {@code step} used
 * @param stagedMapVersion the version of the staged map, 0 for none
 * @param holdStep the step that is held back, 0 for none
 * @param committedMapVersion the version of the map committed but not yet in use, 0 for none
 * @param committedStep the first step that uses the committed map
 * @param map the bytes of the map in use
 * @param expertPopularity tokens per expert over the last second, summed over all layers
 * @param stepMillis the mean time of this rank's own part of a step over the last second, in
 *     milliseconds
 */
@SuppressWarnings("ArrayRecordComponent") // Only passed on, never compared or hashed.
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
