package dev.ibishub.core.serving;

import dev.ibishub.core.serving.admission.ServiceLoad;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * This entry's view of one target: its estimated load, its recent failures, and whether it accepts
 * requests. Thread-safe by one lock.
 *
 * <p>The load is the target's latest report plus what this entry has sent since. Reports are
 * slightly stale, so without that correction entries that see the same idle target would all keep
 * sending to it.
 */
public final class TargetLoad {
  /** Age beyond which a report no longer counts, milliseconds; about five report periods. */
  static final long MAXIMUM_REPORT_AGE_MILLIS = 500;

  /**
   * Time from a send until the request shows in the target's reports, milliseconds: the transit to
   * the target plus the pass in which the target accepts the request.
   */
  static final long ARRIVAL_MILLIS = 15;

  /** Weight of the latest answer in the moving average of failures. */
  private static final double FAILURE_WEIGHT = 0.25;

  /** Half-life of the failure share while no answer comes, milliseconds. */
  private static final double FAILURE_HALF_LIFE_MILLIS = 1_500;

  /** Penalty of a target whose answers all fail, in requests. */
  private static final double FAILURE_COST = 8;

  /** Slowdown up to which a target is not penalized as slow. */
  private static final double USUAL_SLOWDOWN = 1.1;

  /**
   * Penalty for each unit of slowdown above {@link #USUAL_SLOWDOWN}, in requests. The ranks of a
   * group step together and wait for the slowest one, so a request on that rank lengthens every
   * pause, while a request on another rank lengthens none.
   */
  private static final double SLOWNESS_COST = 6;

  /**
   * Penalty below which it counts as 0, in requests. The penalty for failures decays but never
   * reaches 0, so a target that has failed would otherwise never be tried again while all others
   * are idle.
   */
  private static final double NEGLIGIBLE_PENALTY = 0.25;

  /**
   * How long no requests are sent to a target after it could not be reached, milliseconds. It
   * doubles with each further failure to reach the target, up to {@link
   * #LONGEST_SUSPENSION_MILLIS}.
   */
  private static final long FIRST_SUSPENSION_MILLIS = 300;

  private static final long LONGEST_SUSPENSION_MILLIS = 2_400;

  private final Deque<Long> sentSinceReport = new ArrayDeque<>();
  private int ownInFlight;
  private TargetReport report = TargetReport.ofRequests(0, Long.MIN_VALUE / 2);
  private Optional<GroupOpenness> group = Optional.empty();
  private double failureShare;
  private long answeredAt;
  private long goodAnswerAt = Long.MIN_VALUE;
  private long suspendedUntil = Long.MIN_VALUE;
  private long suspensionMillis = FIRST_SUSPENSION_MILLIS;
  private long backOffUntil = Long.MIN_VALUE;
  private boolean saysLeaving;
  private boolean isMisdirected;
  private long coldUntil = Long.MIN_VALUE;
  private BooleanSupplier hasColdLimit = () -> true;

  /**
   * Written and read without the lock: a check of these loads while this one is locked could
   * deadlock with a check of this one.
   */
  private volatile List<TargetLoad> computingOnly = List.of();

  /** Counts a request that this entry sends to the target. */
  public synchronized void onSent(long now) {
    ownInFlight++;
    sentSinceReport.addLast(now);
  }

  /** Counts the end of a request, whatever its outcome. */
  public synchronized void onEnded() {
    ownInFlight--;
  }

  /**
   * Records a report of the target. It is ignored if a newer one has arrived already by another
   * path.
   */
  public synchronized void onReport(TargetReport newest) {
    if (newest.measuredAt() < report.measuredAt()) {
      return;
    }
    report = newest;
    while (!sentSinceReport.isEmpty()
        && sentSinceReport.peekFirst() + ARRIVAL_MILLIS < newest.measuredAt()) {
      sentSinceReport.removeFirst();
    }
  }

  /**
   * Records an answer of the target.
   *
   * @param good false if the target failed; true also for an error that the caller caused
   * @param now the current time, milliseconds
   */
  public synchronized void onAnswer(boolean good, long now) {
    failureShare = failureShare(now) * (1 - FAILURE_WEIGHT) + (good ? 0 : FAILURE_WEIGHT);
    answeredAt = now;
    if (good) {
      goodAnswerAt = now;
      suspensionMillis = FIRST_SUSPENSION_MILLIS;
      suspendedUntil = Long.MIN_VALUE;
    }
  }

  /** Whether the target answered at or after a time, milliseconds. */
  public synchronized boolean hasAnsweredSince(long time) {
    return goodAnswerAt >= time;
  }

  /** Records that the target could not be reached, and suspends it for a while. */
  public synchronized void onUnreachable(long now) {
    onAnswer(false, now);
    suspendedUntil = now + suspensionMillis;
    suspensionMillis = Math.min(LONGEST_SUSPENSION_MILLIS, 2 * suspensionMillis);
  }

  /** Whether the target is suspended because it could not be reached recently. */
  public synchronized boolean isSuspended(long now) {
    return now < suspendedUntil;
  }

  /**
   * Records that the target refused a request and asked this entry to back off. A later answer with
   * an earlier end does not shorten the back-off.
   *
   * @param until the end of the back-off, milliseconds
   */
  public synchronized void onBackOffRequested(long until) {
    backOffUntil = Math.max(backOffUntil, until);
  }

  /** Whether this entry must still back off from the target, as the target asked. */
  public synchronized boolean isBackingOff(long now) {
    return now < backOffUntil;
  }

  /**
   * Returns the end of the requested back-off, milliseconds; a time in the past if there is none.
   */
  synchronized long backOffUntil() {
    return backOffUntil;
  }

  /**
   * Records that the target is cold. A later statement with an earlier end does not shorten the
   * cold period.
   *
   * @param until the end of the cold period, milliseconds
   */
  public synchronized void onCold(long until) {
    coldUntil = Math.max(coldUntil, until);
  }

  /**
   * Sets whether the target's service limits the requests to cold targets; it does so unless set
   * otherwise. The limit may come into force while the target is cold.
   *
   * @param isInForce returns whether the limit is in force; called under this object's lock
   */
  public synchronized void onColdLimit(BooleanSupplier isInForce) {
    hasColdLimit = isInForce;
  }

  /**
   * Whether the target is cold and its service limits the requests to cold targets, so that a warm
   * one is preferred to it.
   */
  public synchronized boolean isCold(long now) {
    return isInColdPeriod(now) && hasColdLimit.getAsBoolean();
  }

  /** Whether the target is cold, whether or not its service has a limit for that. */
  public synchronized boolean isInColdPeriod(long now) {
    return now < coldUntil;
  }

  /**
   * Records that the target stated in an answer that it is leaving, which it can't take back while
   * it runs.
   */
  public synchronized void onLeaving() {
    saysLeaving = true;
  }

  /** Whether the target stated in an answer that it is leaving. */
  public synchronized boolean saysLeaving() {
    return saysLeaving;
  }

  /** Records that another target answered at its address, as its record names the wrong one. */
  public synchronized void onMisdirected() {
    isMisdirected = true;
  }

  /** Whether another target answered at its address. */
  public synchronized boolean isMisdirected() {
    return isMisdirected;
  }

  /** Whether the target's own report is recent enough to count. */
  public synchronized boolean hasReport(long now) {
    return now - report.measuredAt() <= MAXIMUM_REPORT_AGE_MILLIS;
  }

  /**
   * Sets the group that the target belongs to. From then on the group's state, while known, decides
   * whether the target is open.
   */
  public synchronized void onGroup(GroupOpenness openness) {
    group = Optional.of(openness);
  }

  /**
   * Sets the loads of those targets of the same service that take no requests because their zone is
   * evacuated. If the targets are ranks of a group, these still step with it.
   */
  public void onComputingOnly(List<TargetLoad> loads) {
    computingOnly = List.copyOf(loads);
  }

  /**
   * Whether the target's group lacks none of the ranks that only compute: all of them have recent
   * reports. True also for a target that belongs to no group.
   */
  boolean hasAllComputingRanks(long now) {
    return !isInGroup() || computingOnly.stream().allMatch(load -> load.hasReport(now));
  }

  private synchronized boolean isInGroup() {
    return group.isPresent();
  }

  /** Whether a recent report of the group, or else of the target, says it accepts no requests. */
  public synchronized boolean isClosed(long now) {
    return reportedOpen(now).map(open -> !open).orElse(false);
  }

  /** Whether a recent report of the group, or else of the target, says it accepts requests. */
  public synchronized boolean isOpen(long now) {
    return reportedOpen(now).orElse(false);
  }

  private Optional<Boolean> reportedOpen(long now) {
    return group
        .filter(known -> known.hasRecentReport(now))
        .map(GroupOpenness::isOpen)
        .or(() -> hasReport(now) ? Optional.of(report.isOpen()) : Optional.empty());
  }

  /**
   * Whether the target recently reported more requests than it runs at once.
   *
   * @param now the current time, milliseconds
   * @param slots how many requests the target runs at once
   */
  public synchronized boolean isQueueing(long now, int slots) {
    return hasReport(now) && report.requests() > slots;
  }

  /**
   * Estimates how many requests wait or run at the target.
   *
   * @param now the current time, milliseconds
   * @param entries how many entries send to it; without a recent report, each is assumed to have as
   *     many requests in flight as this entry
   */
  public synchronized double requests(long now, int entries) {
    if (!hasReport(now)) {
      return (double) ownInFlight * Math.max(1, entries);
    }
    return report.requests() + sentSinceReport.size();
  }

  /** Returns the age of the target's report, milliseconds; 0 without a recent report. */
  synchronized long reportAgeMillis(long now) {
    return hasReport(now) ? Math.max(0, now - report.measuredAt()) : 0;
  }

  /**
   * Adds the target to the load of its service, unless it accepts no requests now. The figure is
   * that of the latest report, without requests sent since.
   *
   * @param entries see {@link #requests}
   */
  public synchronized void addTo(ServiceLoad.Sum sum, long now, int entries) {
    if (isClosed(now) || isBackingOff(now) || isSuspended(now)) {
      return;
    }
    if (hasReport(now)) {
      sum.add(report.requests(), now - report.measuredAt());
      report.step().ifPresent(step -> sum.addStep(step, report.measuredAt()));
    } else {
      sum.add((double) ownInFlight * Math.max(1, entries), 0);
    }
  }

  /** Returns the penalty for failures and slowness when targets are compared, in requests. */
  public synchronized double penalty(long now) {
    double slowness = Math.max(0, report.slowdown() - USUAL_SLOWDOWN) * SLOWNESS_COST;
    double penalty = failureShare(now) * FAILURE_COST + slowness;
    return penalty < NEGLIGIBLE_PENALTY ? 0 : penalty;
  }

  private double failureShare(long now) {
    return failureShare * Math.pow(0.5, (now - answeredAt) / FAILURE_HALF_LIFE_MILLIS);
  }
}
