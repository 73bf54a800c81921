package dev.ibishub.bench.model;

/**
 * How fast an engine is.
 *
 * @param stepSeconds time of a step without work
 * @param sequenceSeconds added to a step for each sequence that it decodes
 * @param promptTokenSeconds added to a step for each prompt token that it reads
 * @param promptTokensPerStep most prompt tokens of one step
 * @param largestBatch most sequences at the same time
 * @param cachedPrefixes prefixes that fit into its memory
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
  /** An engine with steps of 5 ms and more, and 50,000 prompt tokens a second. */
  public static EngineParameters defaults() {
    return new EngineParameters(0.005, 0.00006, 0.00002, 512, 64, 40, 0.8);
  }

  /** Tokens a second, as {@link ModelRequest#actualTokens} counts, with a full batch. */
  public double capacity(double promptTokens, double outputTokens) {
    double decodes = stepSeconds / largestBatch + sequenceSeconds;
    double secondsPerRequest = outputTokens * decodes + promptTokens * promptTokenSeconds;
    double cost = outputTokens + ModelRequest.PROMPT_TOKEN_COST * promptTokens;
    return cost / secondsPerRequest;
  }
}
