package dev.ibishub.core.serving;

/**
 * Whether a request may be sent to another target after an attempt failed. Immutable.
 *
 * <p>The promise behind it: a request that may not be repeated runs once at most, and no request
 * runs at more targets than its route allows.
 *
 * @param kind what may be done with the request
 * @param maximumRuns the most targets at which it may have run
 */
public record RetryRule(RequestKind kind, int maximumRuns) {
  /**
   * Sends beyond the allowed runs that a request may use up on targets which refuse it or can't be
   * reached. Such sends run nothing, but each is an arrival that the shared retry budget pays for.
   */
  public static final int EXTRA_SENDS = 2;

  /**
   * Pause before a third send, longer with each further one. A group of ranks that forms takes some
   * 0.6 s in which all its ranks refuse; callers come back once at most, so a request that is only
   * tried at once is lost where it could have been served late. Milliseconds.
   */
  static final long REFUSED_PAUSE_MILLIS = 250;

  /** Requests with less time than this are not kept waiting between sends. Milliseconds. */
  static final long LEAST_LEFT_MILLIS = 3_000;

  /** Checks that one run is allowed. */
  public RetryRule {
    if (maximumRuns < 1) {
      throw new IllegalArgumentException("need maximumRuns >= 1, was " + maximumRuns);
    }
  }

  /**
   * Decides.
   *
   * @param outcome how the last attempt ended
   * @param runs attempts so far that may have run
   * @param sends all attempts so far
   * @return whether one more attempt keeps the promise
   */
  public boolean allowsAnother(AttemptOutcome outcome, int runs, int sends) {
    boolean mayRunAgain = runs == 0 || kind.isRepeatable();
    return mayRunAgain && runs < maximumRuns && sends < maximumRuns + EXTRA_SENDS;
  }

  /**
   * Returns how long to wait before a request is sent again, milliseconds.
   *
   * @param outcome how the last attempt ended
   * @param sends all attempts so far
   * @param leftMillis time until the request's deadline, milliseconds
   */
  public long pauseMillis(AttemptOutcome outcome, int sends, long leftMillis) {
    boolean isPatient =
        outcome == AttemptOutcome.REFUSED && sends > 1 && leftMillis >= LEAST_LEFT_MILLIS;
    return isPatient ? REFUSED_PAUSE_MILLIS * (sends - 1) : 0;
  }
}
