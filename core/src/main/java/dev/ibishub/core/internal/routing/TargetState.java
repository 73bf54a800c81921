package dev.ibishub.core.internal.routing;

import com.dynatrace.hash4j.hashing.Hashing;
import dev.ibishub.core.RouterOptions;
import dev.ibishub.core.TargetStatus;
import java.time.Instant;
import java.util.Set;

/** What an entry knows of one target. Thread-safe by one lock for each target. */
public final class TargetState {
  private static final double SIZE_SMOOTHING = 0.05;
  private static final double SMALLEST_RAMP = 0.1;
  private static final double OLDEST_REPORT_SECONDS = 5;
  private static final double LONG_WAIT_SECONDS = 0.2;
  private static final double LONG_WAIT_STEP = Math.log(1.5);
  private static final int MOST_DOUBLINGS = 6;

  private final String target;
  private final long hash;
  private final RouterOptions options;
  private final SentWork sent = new SentWork();
  private TargetStatus status;
  private Instant slowStartFrom;
  private Instant ejectedUntil = Instant.MIN;
  private double meanTokens;
  private int failuresInARow;
  private int ejections;

  /** Creates the state of a target that has not reported yet and gets no work. */
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

  /** Hash of the target's id. */
  long hash() {
    return hash;
  }

  /** The newest report. */
  public synchronized TargetStatus status() {
    return status;
  }

  /** Takes a report unless it is older than the last one. */
  public synchronized void report(TargetStatus newer, Instant now) {
    if (newer.measuredAt().isBefore(status.measuredAt())) {
      return;
    }
    boolean isBack = accepts(newer) && !accepts(status);
    status = newer;
    slowStartFrom = isBack ? now : slowStartFrom;
    sent.forgetUntil(newer.measuredAt());
  }

  public synchronized void sent(double tokens, Instant now) {
    meanTokens = meanTokens == 0 ? tokens : meanTokens + SIZE_SMOOTHING * (tokens - meanTokens);
    sent.add(now);
  }

  /** Whether the target may get work. */
  public synchronized boolean isEligible(Instant now) {
    return accepts(status) && !isEjected(now);
  }

  public synchronized boolean isEjected(Instant now) {
    return ejectedUntil.isAfter(now);
  }

  /** Whether the target says that it takes work, ejected or not. */
  public synchronized boolean takesWork() {
    return accepts(status);
  }

  /** Notes the end of an attempt; returns whether the target should be ejected. */
  public synchronized boolean finished(boolean failed) {
    if (!failed) {
      failuresInARow = 0;
      ejections = 0;
      return false;
    }
    failuresInARow++;
    return failuresInARow >= options.ejectionFailures();
  }

  /** Ejects the target, for twice as long as the last time; it comes back with a slow start. */
  public synchronized void eject(Instant now) {
    double seconds = options.ejectionSeconds() * (1 << Math.min(ejections, MOST_DOUBLINGS));
    ejections++;
    ejectedUntil = Seconds.after(now, seconds);
    slowStartFrom = ejectedUntil;
    failuresInARow = options.ejectionFailures() - 1;
  }

  /** Estimated seconds until the target starts work that is sent now. */
  public synchronized double waitSeconds(int entries, Instant now) {
    return waitFor(outstanding(entries, now));
  }

  /**
   * Estimated cost in seconds of sending work now: the wait, and the share of the target's time
   * that the work takes, which grows with what runs beside it. A target in its slow start looks
   * dearer than it is.
   */
  public synchronized double costSeconds(double tokens, int entries, Instant now) {
    double outstanding = outstanding(entries, now);
    double busy = Math.min(1, outstanding / limit());
    double own = tokens / tokensPerSecond();
    return (rounded(waitFor(outstanding)) + own * (1 + busy)) / ramp(now);
  }

  /**
   * Pieces of work at the target now: those of the report, less what has ended since, and what was
   * sent since. The other entries are taken to have sent as much each as this one: they see the
   * same reports, so what draws this entry to a target draws them too.
   */
  private double outstanding(int entries, Instant now) {
    double atReport = status.running() + status.queued();
    double fill = Math.min(1, atReport / limit());
    double ended = ageSeconds(now) * fill * tokensPerSecond() / meanTokens();
    return Math.max(0, atReport - ended + entries * sent.count());
  }

  private double waitFor(double outstanding) {
    double waiting = Math.max(0, outstanding - limit());
    double more = (waiting - status.queued()) * meanTokens();
    return waiting == 0 ? 0 : Math.max(0, status.queuedTokens() + more) / tokensPerSecond();
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
   * Long waits that differ little count as equal. All targets are full then, the difference is
   * older than the report that showed it, and to follow it sends the work of every entry, and so
   * the urgent work that does not wait at all, to the same few targets.
   */
  private static double rounded(double wait) {
    return wait < LONG_WAIT_SECONDS
        ? wait
        : Math.exp(Math.floor(Math.log(wait) / LONG_WAIT_STEP) * LONG_WAIT_STEP);
  }

  private double tokensPerSecond() {
    return status.tokensPerSecond() > 0
        ? status.tokensPerSecond()
        : options.initialTokensPerSecond();
  }

  /** Bounded, so that a clock that is off by more than that does bounded harm. */
  private double ageSeconds(Instant now) {
    double age = Seconds.between(status.measuredAt(), now);
    return Math.max(0, Math.min(OLDEST_REPORT_SECONDS, age));
  }

  private double ramp(Instant now) {
    if (options.slowStartSeconds() == 0) {
      return 1;
    }
    double done = Seconds.between(slowStartFrom, now) / options.slowStartSeconds();
    return Math.max(SMALLEST_RAMP, Math.min(1, done));
  }

  private static boolean accepts(TargetStatus status) {
    return status.reachable() && !status.leaving();
  }
}
