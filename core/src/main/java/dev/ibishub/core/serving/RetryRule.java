package dev.ibishub.core.serving;

/**
 * Decides whether and when a request is sent to another target after a failed attempt. Used on the
 * platform of the users; ibishub's own interface has {@link dev.ibishub.core.RequestTracker}.
 * Immutable.
 *
 * <p>It guarantees that a request that may not be repeated runs at most once, that no request runs
 * on more targets than its route allows, and that none is sent again whose caller has received a
 * part of a response that another target can't continue.
 *
 * @param kind how often the request may run
 * @param maximumRuns maximum number of targets on which the request may have run, 1 or more
 */
public record RetryRule(RequestKind kind, int maximumRuns) {
  /**
   * Additional sends that a request may spend on targets that refuse it or can't be reached. Such a
   * send runs nothing, but the target still has to handle it, so it counts against the shared retry
   * budget.
   */
  public static final int EXTRA_SENDS = 2;

  /**
   * Delay before the third send, growing by the same amount with each further one, milliseconds. A
   * group of ranks takes about 0.6 s to form, and all its ranks refuse meanwhile. Callers try again
   * at most once, so immediate retries alone would lose a request that could be served late.
   */
  static final long REFUSED_RETRY_DELAY_MILLIS = 250;

  /** Requests with less time left than this are retried without delay, milliseconds. */
  static final long MINIMUM_REMAINING_MILLIS = 3_000;

  /** Checks that at least one run is allowed. */
  public RetryRule {
    if (maximumRuns < 1) {
      throw new IllegalArgumentException("need maximumRuns >= 1, was " + maximumRuns);
    }
  }

  /**
   * Decides whether another attempt is allowed.
   *
   * @param delivered what the caller has received so far
   * @param runs attempts so far that may have run
   * @param sends all attempts so far
   * @return whether another attempt keeps within the allowed runs and sends, and its response could
   *     follow what was delivered
   */
  public boolean allowsAnother(DeliveredResponse delivered, int runs, int sends) {
    boolean mayRunAgain = runs == 0 || kind.isRepeatable();
    return mayRunAgain
        && delivered.mayBeContinued(kind)
        && runs < maximumRuns
        && sends < maximumRuns + EXTRA_SENDS;
  }

  /**
   * Returns the delay before the next attempt, milliseconds; 0 for none.
   *
   * @param outcome how the last attempt ended
   * @param sends all attempts so far
   * @param leftMillis time until the request's deadline, milliseconds
   */
  public long retryDelayMillis(AttemptOutcome outcome, int sends, long leftMillis) {
    boolean isDelayed =
        outcome == AttemptOutcome.REFUSED && sends > 1 && leftMillis >= MINIMUM_REMAINING_MILLIS;
    return isDelayed ? REFUSED_RETRY_DELAY_MILLIS * (sends - 1) : 0;
  }
}
