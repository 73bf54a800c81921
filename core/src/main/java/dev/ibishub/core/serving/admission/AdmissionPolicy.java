package dev.ibishub.core.serving.admission;

import dev.ibishub.core.serving.RetryAdvice;

/**
 * Decides for a request that arrives at an entry whether it is sent, waits or is refused.
 * Immutable.
 *
 * @param mayWait whether all requests may wait at the entry; if not, only those of returning
 *     callers may, and others are sent or refused at once
 */
public record AdmissionPolicy(boolean mayWait) {
  /**
   * Passes from the send of a request to its first piece: the rest of the pass that runs, the pass
   * that reads the prompt, and half a pass for long prompts and the transit.
   */
  private static final double PASSES_TO_FIRST_PIECE = 2;

  /** Fraction of the range of retry advice over which refused callers are spread, at its end. */
  private static final double RETURN_SPREAD = 0.25;

  /** Lowest rate that is assumed for the starts of a class, per second. */
  private static final double MINIMUM_STARTS_PER_SECOND = 0.1;

  /**
   * Facts that a decision depends on.
   *
   * @param isStalled whether the engines stand still
   * @param passMillis duration of a pass, milliseconds
   * @param credit number of requests that this entry may start now
   * @param needed credit that a request of this urgency needs
   * @param startsPerSecond rate at which this entry may start requests of this or a higher urgency
   * @param urgentPerSecond rate at which more urgent requests arrive at this entry
   * @param ahead number of waiting requests that would be started before this one
   * @param isLeastUrgent whether no requests are less urgent than this one
   */
  public record Situation(
      boolean isStalled,
      double passMillis,
      double credit,
      double needed,
      double startsPerSecond,
      double urgentPerSecond,
      int ahead,
      boolean isLeastUrgent) {

    /** Whether a request may be sent now. */
    boolean maySend() {
      return ahead == 0 && credit >= needed;
    }

    /** Returns the predicted wait, milliseconds. */
    public double waitMillis() {
      double missing = Math.max(0, ahead + needed - credit);
      double rate = Math.max(MINIMUM_STARTS_PER_SECOND, startsPerSecond - urgentPerSecond);
      return missing / rate * 1_000;
    }
  }

  /**
   * Decides about a request that arrives.
   *
   * @param random a random number from 0 to below 1, uniformly distributed
   */
  public Decision decide(AdmissionRequest request, Situation situation, long now, double random) {
    if (situation.isStalled() && !mayWaitForProgress(request, situation.isLeastUrgent())) {
      return refusal(request, Decision.Reason.STALLED, now, random);
    }
    if (situation.maySend() && !situation.isStalled()) {
      return new Decision.Send();
    }
    double waitMillis = situation.waitMillis();
    boolean isInTime = now + waitMillis <= latestStart(request, situation.passMillis());
    return isInTime && mayWait(request, situation.isLeastUrgent())
        ? new Decision.Wait((long) waitMillis)
        : refusal(request, Decision.Reason.TOO_LATE, now, random);
  }

  /**
   * Whether a request may wait for its turn. A request that was refused before may do so in any
   * case, as its caller does not return a second time; but not in the least urgent class, whose
   * returning callers would delay new ones that can still be in time.
   */
  private boolean mayWait(AdmissionRequest request, boolean isLeastUrgent) {
    return mayWait || (request.isReturning() && !isLeastUrgent);
  }

  /**
   * Whether a request may wait while the engines stand still, for an unknown time: only one that
   * was refused before.
   */
  boolean mayWaitForProgress(AdmissionRequest request, boolean isLeastUrgent) {
    return request.isReturning() && mayWait(request, isLeastUrgent);
  }

  /** Returns until when a request has to be sent for its first piece to be in time. */
  public long latestStart(AdmissionRequest request, double passMillis) {
    return request.firstPieceBy() - (long) (PASSES_TO_FIRST_PIECE * passMillis);
  }

  /**
   * Returns a refusal. The caller is told to return near the end of the time that it honours:
   * overload and standstills last for seconds, and a caller that is refused twice is lost.
   */
  public Decision.Refuse refusal(
      AdmissionRequest request, Decision.Reason reason, long now, double random) {
    double late = 1 - RETURN_SPREAD * random;
    return new Decision.Refuse(RetryAdvice.whileClosed(request.deadline() - now, late), reason);
  }
}
