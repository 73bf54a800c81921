package dev.ibishub.gateway.model;

import dev.ibishub.core.serving.admission.EngineTiming;

/**
 * Capacity and timing of a service's model engines, as stated by the operators.
 *
 * @param slots number of requests that an engine runs concurrently
 * @param baseStepMillis duration of a step without requests, milliseconds
 * @param stepMillisPerRequest time that each running request adds to a step, milliseconds
 * @param stepsPerPass number of steps in a decode pass
 * @param meanAnswerTokens mean length of an answer, tokens
 * @param meanPromptTokens mean length of a prompt, tokens
 * @param prefillTokensPerMilli prefill rate, prompt tokens per millisecond; 0 if not stated
 * @param layers number of layer sets with experts of their own; 0 for engines without experts
 * @param experts number of experts in each layer set
 * @param placesPerRank maximum number of experts of a layer set that a rank holds
 * @param maximumFetchesPerSet maximum number of experts of a layer set that a rank may fetch for
 *     one new map
 * @param expertMegabytes size of an expert, megabytes
 * @param linkMegabitsPerSecond bandwidth for fetching experts, megabits per second
 * @param expertShare fraction of the per-token work that experts do, 0 to 1
 * @param formationMillis time that a group takes to open once all its ranks are present,
 *     milliseconds
 */
public record EngineProfile(
    int slots,
    double baseStepMillis,
    double stepMillisPerRequest,
    int stepsPerPass,
    int meanAnswerTokens,
    int meanPromptTokens,
    double prefillTokensPerMilli,
    int layers,
    int experts,
    int placesPerRank,
    int maximumFetchesPerSet,
    double expertMegabytes,
    double linkMegabitsPerSecond,
    double expertShare,
    long formationMillis) {

  private static final double BITS_PER_BYTE = 8;
  private static final double MILLIS_PER_SECOND = 1_000;

  /** Skew of the best-balanced map that is possible when each rank holds few experts. */
  private static final double BALANCED_SKEW = 1.2;

  /**
   * Shortest time after which callers abandon a stream that has not begun, milliseconds. With a
   * latency objective, they wait for {@link #PATIENCE_FACTOR} times the objective if that is
   * longer.
   */
  private static final double MINIMUM_PATIENCE_MILLIS = 2_000;

  private static final double PATIENCE_FACTOR = 4;

  /**
   * Position of the threshold for a new map, as a fraction of the way from an even load to the skew
   * at which a full pass takes as long as the pause objective.
   */
  private static final double START_FRACTION = 1.0 / 3;

  /** Skew threshold for a new map if the engines' timing is not stated. */
  private static final double DEFAULT_START_SKEW = 1.6;

  /**
   * Upper bound of the skew threshold: at this skew a group has half of its possible throughput.
   */
  private static final double MAXIMUM_START_SKEW = 2;

  /** Multiple of the stated time to open for which a group that forms is waited for. */
  private static final double FORMATION_TIMEOUT_FACTOR = 1.5;

  /** Whether the engines form expert-parallel groups. */
  public boolean hasExperts() {
    return layers > 0 && experts > 0;
  }

  /** Returns the time that a rank takes to fetch one expert, milliseconds; 0 if not stated. */
  public double fetchMillis() {
    return linkMegabitsPerSecond <= 0
        ? 0
        : expertMegabytes * BITS_PER_BYTE / linkMegabitsPerSecond * MILLIS_PER_SECOND;
  }

  /**
   * Returns the duration of a full pass, milliseconds: all slots in use and one prompt of mean
   * length to prefill.
   *
   * @param skew per-token work of the most loaded ranks, as a multiple of the mean
   */
  public double passMillis(double skew) {
    return stepsPerPass * baseStepMillis
        + tokenMillisPerPass() * (1 - expertShare + expertShare * skew);
  }

  /**
   * Returns the relative duration of a full pass. Only the ratio of two results is meaningful. If
   * the engines' timing is not stated, the duration is taken to be proportional to the skew.
   *
   * @param skew per-token work of the most loaded ranks, as a multiple of the mean
   */
  public double relativePassDuration(double skew) {
    return hasTiming() ? passMillis(skew) : skew;
  }

  /**
   * Returns the skew from which a new map is worth the cost of copying experts: a third of the way
   * from an even load (skew 1) to the skew at which a full pass takes as long as the pause
   * objective. For an objective of 120 ms and current engines this is 1.6, well above the factor of
   * 1.25 by which demand differs at random between consecutive windows.
   *
   * @param pauseObjectiveMillis objective for the longest pause between two pieces of a stream,
   *     milliseconds
   */
  public double startSkew(long pauseObjectiveMillis) {
    if (!hasTiming()) {
      return DEFAULT_START_SKEW;
    }
    double tokenTimeRatio =
        (pauseObjectiveMillis - stepsPerPass * baseStepMillis) / tokenMillisPerPass();
    double skewAtObjective = 1 + (tokenTimeRatio - 1) / expertShare;
    return Math.min(
        MAXIMUM_START_SKEW, Math.max(BALANCED_SKEW, 1 + START_FRACTION * (skewAtObjective - 1)));
  }

  /** Returns the mean time until a slot of a full engine becomes free, milliseconds. */
  public double slotWaitMillis() {
    double stepMillis = passMillis(BALANCED_SKEW) / stepsPerPass;
    return meanAnswerTokens * stepMillis / Math.max(1, slots);
  }

  /**
   * Returns the maximum queue length of an engine, besides the requests in its slots. The last
   * request in the queue still gets its first piece in half of the time that callers wait for one.
   * Such an answer is late and worth half of one in time, but refusing is worse: a refused caller
   * retries once, is late as well, and may be refused again. The result is at least 1, since slots
   * would otherwise stay empty between two load reports.
   *
   * @param latencyObjectiveMillis latency objective for the first piece, milliseconds; 0 for none
   */
  public int queueLimit(long latencyObjectiveMillis) {
    double patienceMillis =
        Math.max(MINIMUM_PATIENCE_MILLIS, latencyObjectiveMillis * PATIENCE_FACTOR);
    double queueMillis = patienceMillis / 2 - passMillis(BALANCED_SKEW);
    return Math.max(1, (int) (queueMillis / Math.max(1, slotWaitMillis())));
  }

  /** Whether the duration of a pass and the length of an answer are stated. */
  public boolean statesPassTime() {
    return baseStepMillis > 0 && stepMillisPerRequest > 0 && meanAnswerTokens > 0 && slots > 0;
  }

  /**
   * Returns the timing by which admission estimates the engines' capacity. A step produces a token
   * of each answer.
   *
   * @param pauseObjectiveMillis shortest pause objective of the service's routes, milliseconds; 0
   *     for none
   */
  public EngineTiming timing(long pauseObjectiveMillis) {
    return new EngineTiming(
        slots,
        stepsPerPass * baseStepMillis,
        passMillis(BALANCED_SKEW),
        (double) meanAnswerTokens / stepsPerPass,
        pauseObjectiveMillis);
  }

  /** Returns how long to wait for a group to open once all its ranks are present, milliseconds. */
  public long formationTimeoutMillis() {
    return (long) (FORMATION_TIMEOUT_FACTOR * formationMillis);
  }

  /** Whether the stated timing is sufficient to derive the duration of a pass from the skew. */
  private boolean hasTiming() {
    return tokenMillisPerPass() > 0 && expertShare > 0;
  }

  /** Returns the time that a full pass spends on tokens without skew, milliseconds. */
  private double tokenMillisPerPass() {
    double prefillMillis =
        prefillTokensPerMilli <= 0 ? 0 : meanPromptTokens / prefillTokensPerMilli;
    return stepsPerPass * stepMillisPerRequest * slots + prefillMillis;
  }
}
