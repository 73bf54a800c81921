package dev.ibishub.engines;

import java.time.Instant;

/**
 * The load of an engine at a recent time.
 *
 * @param running the number of answers in the batch
 * @param waiting the number of answers not yet in the batch
 * @param batchLimit the maximum number of answers in the batch
 * @param tokensPerSecond tokens generated over the last second
 * @param measuredAt when the engine measured these figures
 */
public record EngineLoad(
    int running, int waiting, int batchLimit, double tokensPerSecond, Instant measuredAt) {}
