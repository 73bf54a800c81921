package dev.ibishub.bench.model;

/** One attempt of a simulated request. Not thread-safe. */
public final class ModelRequest {
  /** Cost of a prompt token relative to that of a generated token. */
  public static final double PROMPT_TOKEN_COST = 0.125;

  private final String id;
  private final String workspace;
  private final double weight;
  private final int promptTokens;
  private final int outputTokens;
  private final int estimatedOutputTokens;
  private final long prefixHash;
  private final double arrivedAt;
  private final double deadlineAt;
  private double startedAt = Double.NaN;
  private double firstTokenAt = Double.NaN;
  private double finishedAt = Double.NaN;

  /** Creates a request that arrives at the given second. */
  public ModelRequest(
      String id,
      String workspace,
      double weight,
      Size size,
      long prefixHash,
      double arrivedAt,
      double deadlineAt) {
    this.id = id;
    this.workspace = workspace;
    this.weight = weight;
    this.promptTokens = size.prompt();
    this.outputTokens = size.output();
    this.estimatedOutputTokens = size.estimatedOutput();
    this.prefixHash = prefixHash;
    this.arrivedAt = arrivedAt;
    this.deadlineAt = deadlineAt;
  }

  /** Returns a new attempt of the same request that arrives at the given second. */
  public ModelRequest retry(double seconds, double deadlineSeconds) {
    return new ModelRequest(
        id + "'",
        workspace,
        weight,
        new Size(promptTokens, outputTokens, estimatedOutputTokens),
        prefixHash,
        seconds,
        seconds + deadlineSeconds);
  }

  public String id() {
    return id;
  }

  public String workspace() {
    return workspace;
  }

  public double weight() {
    return weight;
  }

  public int promptTokens() {
    return promptTokens;
  }

  public int outputTokens() {
    return outputTokens;
  }

  public long prefixHash() {
    return prefixHash;
  }

  public double arrivedAt() {
    return arrivedAt;
  }

  public double deadlineAt() {
    return deadlineAt;
  }

  public double startedAt() {
    return startedAt;
  }

  public double firstTokenAt() {
    return firstTokenAt;
  }

  public double finishedAt() {
    return finishedAt;
  }

  /** Returns the seconds from arrival to the first token. */
  public double firstTokenSeconds() {
    return firstTokenAt - arrivedAt;
  }

  /** Returns the mean seconds between tokens. */
  public double secondsBetweenTokens() {
    return (finishedAt - firstTokenAt) / Math.max(1, outputTokens - 1);
  }

  /** Returns the estimated cost, in generated tokens. */
  public double estimatedTokens() {
    return estimatedOutputTokens + PROMPT_TOKEN_COST * promptTokens;
  }

  /** Returns the true cost, in generated tokens. */
  public double actualTokens() {
    return outputTokens + PROMPT_TOKEN_COST * promptTokens;
  }

  void started(double seconds) {
    startedAt = seconds;
  }

  void firstToken(double seconds) {
    firstTokenAt = seconds;
  }

  void finished(double seconds) {
    finishedAt = seconds;
  }

  /**
   * Token counts of a request.
   *
   * @param prompt tokens of the prompt
   * @param output tokens that the engine generates
   * @param estimatedOutput maximum output tokens that the caller asks for
   */
  public record Size(int prompt, int output, int estimatedOutput) {}
}
