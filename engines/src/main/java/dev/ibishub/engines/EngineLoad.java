package dev.ibishub.engines;

import java.time.Instant;

/**
 * An engine's load, as old as {@code measuredAt} says.
 *
 * @param running answers in the batch
 * @param waiting answers not yet in the batch
 * @param batchLimit the most answers in a batch
 * @param tokensPerSecond generated over the last second
 * @param measuredAt when the engine took the figures
 */
public record EngineLoad(
    int running, int waiting, int batchLimit, double tokensPerSecond, Instant measuredAt) {}
