package dev.ibishub.standins;

import java.util.List;

/**
 * Options of an engine stand-in.
 *
 * @param group name of the group of ranks, or empty
 * @param ranks number of ranks in the group
 * @param experts number of experts per layer
 * @param served what each rank has loaded at the start, written as in {@code EngineState}
 * @param stepMillis duration of a step under even load, in milliseconds
 * @param batchLimit maximum number of answers in a rank's batch
 * @param tokensPerStep tokens that a step generates for each answer, sent as one piece
 * @param prefillTokensPerStep prompt tokens that a step prefills
 * @param cachedPrefixes number of prefixes that a rank's cache holds
 * @param cacheEventLagMillis delay after which cache events become visible, in milliseconds
 * @param cacheEventGapEvery one in this many cache events is lost, 0 for none
 * @param loadLagMillis staleness of the reported load, in milliseconds
 * @param resumes whether generation continues after a broken connection and the stream can be
 *     resumed
 * @param checksFencing whether orders with an old fencing token are refused
 * @param orderMillis duration of an order, in milliseconds
 * @param driftSeconds period in which the most popular expert moves once through all experts, in
 *     seconds
 */
record EngineOptions(
    String group,
    int ranks,
    int experts,
    List<String> served,
    double stepMillis,
    int batchLimit,
    int tokensPerStep,
    int prefillTokensPerStep,
    int cachedPrefixes,
    long cacheEventLagMillis,
    int cacheEventGapEvery,
    long loadLagMillis,
    boolean resumes,
    boolean checksFencing,
    long orderMillis,
    long driftSeconds) {
  EngineOptions {
    served = List.copyOf(served);
    if (ranks < 1 || ranks > 127 || experts < 1 || batchLimit < 1 || tokensPerStep < 1) {
      throw new IllegalArgumentException("ranks, experts, batch and tokens must be positive");
    }
  }
}
