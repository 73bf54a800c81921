package dev.ibishub.standins;

import java.util.List;

/**
 * How an engine stand-in behaves.
 *
 * @param group name of the group of ranks, or empty
 * @param ranks how many ranks the group has
 * @param experts how many experts a layer has
 * @param served what each rank serves at the start, as in {@code EngineState}
 * @param stepMillis a step's time where load is even, milliseconds
 * @param batchLimit the most answers in a rank's batch
 * @param tokensPerStep tokens of each answer a step, sent as one piece
 * @param prefillTokensPerStep tokens of a prompt read in a step
 * @param cachedPrefixes how many prefixes a rank's cache holds
 * @param cacheEventLagMillis how late cache events show, milliseconds
 * @param cacheEventGapEvery one of this many cache events is never shown, 0 for none
 * @param loadLagMillis how old the reported load is, milliseconds
 * @param resumes whether a broken answer goes on and can be joined again
 * @param checksFencing whether orders with an old fencing token are refused
 * @param orderMillis how long an order takes, milliseconds
 * @param driftSeconds how long the popularity of experts takes to come round, seconds
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
