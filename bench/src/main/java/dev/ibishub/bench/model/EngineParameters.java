package dev.ibishub.bench.model;

/**
 * The performance parameters of a modelled engine.
 *
 * @param stepSeconds duration of a step without work
 * @param sequenceSeconds added to a step for each sequence that it decodes
 * @param promptTokenSeconds added to a step for each prompt token that it reads
 * @param promptTokensPerStep maximum prompt tokens read in one step
 * @param largestBatch maximum number of concurrent sequences
 * @param cachedPrefixes number of prefixes that fit into the cache
 * @param prefixShare share of a prompt that its prefix makes up
 */
public record EngineParameters(
    double stepSeconds,
    double sequenceSeconds,
    double promptTokenSeconds,
    int promptTokensPerStep,
    int largestBatch,
    int cachedPrefixes,
    double prefixShare) {
  /** An engine with steps of at least 5 ms that reads 50,000 prompt tokens a second. */
  public static EngineParameters defaults() {
    return new EngineParameters(0.005, 0.00006, 0.00002, 512, 64, 40, 0.8);
  }

  /**
   * Returns the tokens a second with a full batch, counted as in {@link ModelRequest#actualTokens}.
   */
  public double capacity(double promptTokens, double outputTokens) {
    double decodes = stepSeconds / largestBatch + sequenceSeconds;
    double secondsPerRequest = outputTokens * decodes + promptTokens * promptTokenSeconds;
    double cost = outputTokens + ModelRequest.PROMPT_TOKEN_COST * promptTokens;
    return cost / secondsPerRequest;
  }
}
