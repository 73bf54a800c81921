package dev.ibishub.core.internal.routing;

import com.dynatrace.hash4j.hashing.Hashing;
import dev.ibishub.core.RouterOptions;
import dev.ibishub.core.TargetStatus;
import java.time.Instant;
import java.util.Set;

/**
 * What an entry knows of one target for routing: its last report, this entry's dispatches since,
 * and its failures. Used behind ibishub's own interface; on the platform of its users {@code
 * TargetLoad} does this. Thread-safe by one lock for each target.
 */
public final class TargetState {
  /** Weight of a new sample in the moving average of tokens per item. */
  private static final double MEAN_TOKENS_SMOOTHING = 0.05;

  private static final double MINIMUM_RAMP = 0.1;
  private static final double MAXIMUM_REPORT_AGE_SECONDS = 5;

  /** Wait from which {@link #quantizeLongWait} rounds. */
  private static final double LONG_WAIT_SECONDS = 0.2;

  /** Width of a step on a logarithmic scale: each step is 1.5 times the one before. */
  private static final double LONG_WAIT_LOG_STEP = Math.log(1.5);

  private static final int MAXIMUM_DOUBLINGS = 6;

  private final String target;
  private final long hash;
  private final RouterOptions options;
  private final UnreportedDispatches unreported = new UnreportedDispatches();
  private TargetStatus status;
  private Instant slowStartFrom;
  private Instant ejectedUntil = Instant.MIN;
  private double meanTokens;
  private int consecutiveFailures;
  private int ejections;

  /** Creates the state of a target that has not reported yet and is not eligible for work. */
  public TargetState(String target, RouterOptions options, Instant now) {
    this.target = target;
    this.hash = Hashing.komihash5_0().hashCharsToLong(target);
    this.status =
        new TargetStatus(target, "", false, false, 0, 0, 0, 0, 0, Set.of(), Instant.EPOCH);
    this.options = options;
    this.slowStartFrom = now;
  }

  public String target() {
    return target;
  }

  /** Returns the hash of the target's id. */
  long hash() {
    return hash;
  }

  /** Returns the latest report. */
  public synchronized TargetStatus status() {
    return status;
  }

  /** Applies a report unless it is older than the last one. */
  public synchronized void report(TargetStatus newer, Instant now) {
    if (newer.measuredAt().isBefore(status.measuredAt())) {
      return;
    }
    boolean becameAvailable = accepts(newer) && !accepts(status);
    status = newer;
    slowStartFrom = becameAvailable ? now : slowStartFrom;
    unreported.removeUntil(newer.measuredAt());
  }

  /** Records a dispatch to the target with its estimated tokens. */
  public synchronized void sent(double tokens, Instant now) {
    meanTokens =
        meanTokens == 0 ? tokens : meanTokens + MEAN_TOKENS_SMOOTHING * (tokens - meanTokens);
    unreported.add(now);
  }

  /** Returns whether the target may get work: it accepts work and is not ejected. */
  public synchronized boolean isEligible(Instant now) {
    return accepts(status) && !isEjected(now);
  }

  public synchronized boolean isEjected(Instant now) {
    return ejectedUntil.isAfter(now);
  }

  /**
   * Returns whether the target accepts work according to its last report, also while it is ejected.
   */
  public synchronized boolean takesWork() {
    return accepts(status);
  }

  /** Records the end of an attempt; returns whether the target should be ejected. */
  public synchronized boolean finished(boolean failed) {
    if (!failed) {
      consecutiveFailures = 0;
      ejections = 0;
      return false;
    }
    consecutiveFailures++;
    return consecutiveFailures >= options.ejectionFailures();
  }

  /**
   * Ejects the target for twice as long as the last time, up to 64 times as long as the first; a
   * slow start follows. Until an attempt succeeds, one more failure ejects the target again.
   * Success resets the time.
   */
  public synchronized void eject(Instant now) {
    double seconds = options.ejectionSeconds() * (1 << Math.min(ejections, MAXIMUM_DOUBLINGS));
    ejections++;
    ejectedUntil = Seconds.after(now, seconds);
    slowStartFrom = ejectedUntil;
    consecutiveFailures = options.ejectionFailures() - 1;
  }

  /** Returns the estimated seconds until the target would start work that is sent now. */
  public synchronized double waitSeconds(int entries, Instant now) {
    return waitFor(outstanding(entries, now));
  }

  /**
   * Returns the estimated cost in seconds of sending work now: the wait, plus the target's time
   * that the work takes, which grows with the work running beside it. During slow start the cost is
   * raised, so that the target gets less work.
   */
  public synchronized double costSeconds(double tokens, int entries, Instant now) {
    double outstanding = outstanding(entries, now);
    double utilization = Math.min(1, outstanding / limit());
    double serviceSeconds = tokens / tokensPerSecond();
    return (quantizeLongWait(waitFor(outstanding)) + serviceSeconds * (1 + utilization))
        / ramp(now);
  }

  /**
   * Estimates the items of work at the target now: those in its report, less those that have ended
   * since, plus those sent since. Each of the other entries is assumed to have sent as many as this
   * one, since they all see the same reports and choose alike.
   */
  private double outstanding(int entries, Instant now) {
    double atReport = status.running() + status.queued();
    double utilization = Math.min(1, atReport / limit());
    double ended = ageSeconds(now) * utilization * tokensPerSecond() / meanTokens();
    return Math.max(0, atReport - ended + entries * unreported.count());
  }

  private double waitFor(double outstanding) {
    double waiting = Math.max(0, outstanding - limit());
    double moreTokens = (waiting - status.queued()) * meanTokens();
    return waiting == 0 ? 0 : Math.max(0, status.queuedTokens() + moreTokens) / tokensPerSecond();
  }

  private int limit() {
    return Math.max(1, status.limit());
  }

  private double meanTokens() {
    if (status.queued() > 0 && status.queuedTokens() > 0) {
      return status.queuedTokens() / status.queued();
    }
    return Math.max(1, meanTokens);
  }

  /**
   * Rounds long waits to steps, so that similar ones count as equal. When waits are long, all
   * targets are full and small differences are older than the reports that showed them. Following
   * them would send the work of every entry, and with it the urgent work that does not wait at all,
   * to the same few targets.
   */
  private static double quantizeLongWait(double wait) {
    return wait < LONG_WAIT_SECONDS
        ? wait
        : Math.exp(Math.floor(Math.log(wait) / LONG_WAIT_LOG_STEP) * LONG_WAIT_LOG_STEP);
  }

  private double tokensPerSecond() {
    return status.tokensPerSecond() > 0
        ? status.tokensPerSecond()
        : options.initialTokensPerSecond();
  }

  /**
   * Returns the age of the last report, bounded so that an error of the clock has a bounded effect.
   */
  private double ageSeconds(Instant now) {
    double age = Seconds.between(status.measuredAt(), now);
    return Math.max(0, Math.min(MAXIMUM_REPORT_AGE_SECONDS, age));
  }

  private double ramp(Instant now) {
    if (options.slowStartSeconds() == 0) {
      return 1;
    }
    double elapsedShare = Seconds.between(slowStartFrom, now) / options.slowStartSeconds();
    return Math.max(MINIMUM_RAMP, Math.min(1, elapsedShare));
  }

  private static boolean accepts(TargetStatus status) {
    return status.reachable() && !status.leaving();
  }
}
