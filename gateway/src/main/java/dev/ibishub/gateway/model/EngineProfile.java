package dev.ibishub.gateway.model;

/**
 * What the operators state of a service's model engines.
 *
 * @param slots requests that an engine runs at once
 * @param stepMillis time of one step without requests, milliseconds
 * @param requestMillis what each running request adds to a step, milliseconds
 * @param stepsPerPass steps of a pass that writes
 * @param usualAnswerTokens mean length of an answer
 * @param usualPromptTokens mean length of a prompt
 * @param readTokensPerMilli prompt tokens that are read in a millisecond; 0 where it isn't said
 * @param layers sets of layers that have experts of their own; 0 for engines without experts
 * @param experts experts in each set
 * @param placesPerRank the most experts of a set that a rank holds
 * @param newPerSet the most experts of a set that a rank may fetch for one map
 * @param expertMegabytes size of an expert
 * @param linkMegabits speed at which experts are fetched, megabits a second
 * @param expertShare part of the work for tokens that experts do, 0 to 1
 * @param formMillis how long a group takes to open once all its ranks are there, milliseconds
 */
public record EngineProfile(
    int slots,
    double stepMillis,
    double requestMillis,
    int stepsPerPass,
    int usualAnswerTokens,
    int usualPromptTokens,
    double readTokensPerMilli,
    int layers,
    int experts,
    int placesPerRank,
    int newPerSet,
    double expertMegabytes,
    double linkMegabits,
    double expertShare,
    long formMillis) {

  private static final double BITS_PER_BYTE = 8;
  private static final double MILLIS_PER_SECOND = 1_000;

  /** Skew of a map that is as even as maps become with few places a rank. */
  private static final double EVEN_SKEW = 1.2;

  /**
   * Callers leave a stream without a first piece after the longer of this and some aims. Millis.
   */
  private static final double LEAST_PATIENCE_MILLIS = 2_000;

  private static final double PATIENCE_AIMS = 4;

  /** How far from even a map may become, as a part of the way to where passes are too long. */
  private static final double START_PART = 1.0 / 3;

  /** Skew from which a map is made where the engines' times are not stated. */
  private static final double UNSTATED_START_SKEW = 1.6;

  /** Highest skew that is left alone: the group then carries half of what it could. */
  private static final double LATEST_START_SKEW = 2;

  /** How much longer than stated a group that forms is waited for. */
  private static final double FORMING_TOLERANCE = 1.5;

  /** Whether the engines form groups that share experts. */
  public boolean hasExperts() {
    return layers > 0 && experts > 0;
  }

  /** Returns how long a rank takes to fetch one expert, milliseconds. */
  public double fetchMillis() {
    return linkMegabits <= 0
        ? 0
        : expertMegabytes * BITS_PER_BYTE / linkMegabits * MILLIS_PER_SECOND;
  }

  /**
   * Returns how long a pass takes with all slots taken and one usual prompt to read, milliseconds.
   *
   * @param skew how many times the mean the most loaded ranks have to do for tokens
   */
  public double passMillis(double skew) {
    return stepsPerPass * stepMillis + tokenMillis() * (1 - expertShare + expertShare * skew);
  }

  /**
   * Returns how long a full pass takes at a skew against one at another, for which only the ratio
   * of two results counts. Where the engines' times are not stated, passes are taken to be as long
   * as the most loaded ranks are busy with tokens.
   */
  public double passLength(double skew) {
    return statesTimes() ? passMillis(skew) : skew;
  }

  /**
   * Returns the skew from which a new map is worth its copies: a third of the way from even to
   * where a full pass takes as long as the longest pause wanted. At 120 ms and the engines of today
   * that is 1.6; the demand of one window differs by 1.25 from the next by chance.
   *
   * @param longestPauseMillis the longest pause wanted between two pieces of a stream
   */
  public double startSkew(long longestPauseMillis) {
    if (!statesTimes()) {
      return UNSTATED_START_SKEW;
    }
    double rest = (longestPauseMillis - stepsPerPass * stepMillis) / tokenMillis();
    double latest = 1 + (rest - 1) / expertShare;
    return Math.min(LATEST_START_SKEW, Math.max(EVEN_SKEW, 1 + START_PART * (latest - 1)));
  }

  /** Returns how long it takes until one of a full engine's slots comes free, milliseconds. */
  public double slotFreesMillis() {
    double step = passMillis(EVEN_SKEW) / stepsPerPass;
    return usualAnswerTokens * step / Math.max(1, slots);
  }

  /**
   * Returns how many requests may wait at an engine beyond its slots: so many that the last of them
   * gets its first piece in half of the time that callers wait for one. It is late then, which is
   * worth half of an answer in time; a caller who is refused comes back once, is late as well, and
   * may be refused again. At least 1, as slots would stand empty between two reports.
   *
   * @param aimMillis the time within which a first piece is wanted, milliseconds; 0 for none
   */
  public int waitingPlaces(long aimMillis) {
    double patience = Math.max(LEAST_PATIENCE_MILLIS, aimMillis * PATIENCE_AIMS);
    double rest = patience / 2 - passMillis(EVEN_SKEW);
    return Math.max(1, (int) (rest / Math.max(1, slotFreesMillis())));
  }

  /** Returns how long a group of which all ranks are there may take to open, milliseconds. */
  public long formingMillis() {
    return (long) (FORMING_TOLERANCE * formMillis);
  }

  /** Whether the engines' figures tell how long passes become with the skew. */
  private boolean statesTimes() {
    return tokenMillis() > 0 && expertShare > 0;
  }

  private double tokenMillis() {
    double read = readTokensPerMilli <= 0 ? 0 : usualPromptTokens / readTokensPerMilli;
    return stepsPerPass * requestMillis * slots + read;
  }
}
