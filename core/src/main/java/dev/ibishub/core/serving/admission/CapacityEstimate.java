package dev.ibishub.core.serving.admission;

/**
 * Estimates how many requests a service's engines can run so that the pauses of all streams stay
 * within their objective. Not thread-safe.
 *
 * <p>The ranks of a group step together, so the time between two pieces of any stream is the
 * duration of a pass. The part of it above the duration of an empty pass grows with the number of
 * requests that run, and includes the skew of the expert map. From both follows the number of
 * requests at which a pass takes as long as the pause objective.
 */
public final class CapacityEstimate {
  /** Time constant of the moving averages of pass times, milliseconds; three to five passes. */
  static final double SMOOTHING_MILLIS = 400;

  /**
   * Time without any piece after which all streams count as stalled, milliseconds. Pauses have
   * objectives of 120 ms and less.
   */
  static final long STALL_MILLIS = 350;

  /** Number of streams up to which a stall has to last twice as long to count. */
  private static final int FEW_STREAMS = 2;

  /**
   * Time after which a stall counts as ended whatever is known of it, milliseconds; longer than VMs
   * freeze. Requests have to be sent to find out.
   */
  private static final long LONGEST_UNCONFIRMED_MILLIS = 5_000;

  /** Age beyond which observed pass times no longer count, milliseconds. */
  static final long MAXIMUM_AGE_MILLIS = 2_000;

  /**
   * Share of the duration of an empty pass below which a pause is none of the engines: pieces that
   * were delayed on the way arrive together.
   */
  private static final double SHORTEST_PASS_SHARE = 0.5;

  /** Standard deviations that are kept between an expected value and its limit. */
  private static final double DEVIATIONS = 2;

  /** Running requests per engine below which their effect on the pass time can't be measured. */
  private static final double MINIMUM_RUNNING = 1;

  private EngineTiming timing;
  private double meanPassMillis;
  private double deviationMillis;
  private double meanRunning;
  private long observedAt = Long.MIN_VALUE / 2;
  private long pieceAt = Long.MIN_VALUE / 2;
  private int begunStreams;
  private boolean isStalled;
  private long stalledAt;
  private long stalledStep = -1;

  /** Creates an estimate without observations, which relies on the stated timing. */
  public CapacityEstimate(EngineTiming timing) {
    this.timing = timing;
    meanPassMillis = timing.fullPassMillis();
  }

  /** Replaces the stated timing, after a new configuration. */
  public void changeTiming(EngineTiming newTiming) {
    timing = newTiming;
  }

  /** Records the first piece of a stream. */
  public void onFirstPiece(long now) {
    begunStreams++;
    onProgress(now);
  }

  /** Records the end of a stream that had begun. */
  public void onBegunStreamEnded() {
    begunStreams--;
  }

  /**
   * Records a further piece of a stream.
   *
   * @param pauseMillis time since the stream's previous piece, milliseconds
   * @param load load of the service at that time
   */
  public void onPause(double pauseMillis, ServiceLoad load, long now) {
    onProgress(now);
    boolean isOnePass = pauseMillis >= SHORTEST_PASS_SHARE * timing.basePassMillis();
    if (!isOnePass || pauseMillis > STALL_MILLIS || load.targets() == 0) {
      return;
    }
    double running = load.running() / load.targets();
    boolean isFirst = now - observedAt > MAXIMUM_AGE_MILLIS;
    double weight = isFirst ? 1 : 1 - Math.exp(-(now - observedAt) / SMOOTHING_MILLIS);
    double deviation = isFirst ? 0 : Math.abs(pauseMillis - meanPassMillis);
    meanPassMillis += weight * (pauseMillis - meanPassMillis);
    deviationMillis = isFirst ? 0 : deviationMillis + weight * (deviation - deviationMillis);
    meanRunning = isFirst ? running : meanRunning + weight * (running - meanRunning);
    observedAt = now;
  }

  private void onProgress(long now) {
    isStalled = false;
    pieceAt = now;
  }

  /**
   * Whether the engines stand still: streams of this entry had begun, and none had a piece for a
   * while. It remains so until a piece arrives or the reported step changes, even when the callers
   * of all streams have left.
   *
   * @param load load of the service
   */
  public boolean isStalled(ServiceLoad load, long now) {
    if (isStalled) {
      isStalled = !isMovingAgain(load) && !isUnknown(load, now);
      // Streams of this entry that remain silent are judged anew.
      pieceAt = isStalled ? pieceAt : now;
    } else if (begunStreams > 0 && now - pieceAt > stallMillis()) {
      isStalled = true;
      stalledAt = now;
      stalledStep = -1;
    }
    return isStalled;
  }

  /** One or two streams may be silent because of their targets, not of the whole group. */
  private long stallMillis() {
    return begunStreams > FEW_STREAMS ? STALL_MILLIS : 2 * STALL_MILLIS;
  }

  private boolean isMovingAgain(ServiceLoad load) {
    if (load.step() < 0 || load.steppedAt() <= stalledAt) {
      return false;
    }
    // The step of an earlier report is lower although nothing moved since.
    boolean hasChanged = stalledStep >= 0 && load.step() != stalledStep;
    stalledStep = load.step();
    return hasChanged;
  }

  /** Whether nothing is left that could show progress; requests have to be sent to find out. */
  private boolean isUnknown(ServiceLoad load, long now) {
    boolean isIdle = load.steppedAt() > stalledAt && load.requests() < 1;
    return now - stalledAt > LONGEST_UNCONFIRMED_MILLIS
        || (begunStreams <= 0 && (load.step() < 0 || isIdle));
  }

  /** Returns the mean duration of a pass, observed or else stated, milliseconds; above 0. */
  public double passMillis(long now) {
    return isObserved(now) && meanPassMillis > 0 ? meanPassMillis : timing.fullPassMillis();
  }

  /**
   * Returns the mean number of requests that an engine may run; between 1 and its slots.
   *
   * @param now the current time, milliseconds
   */
  public double requestsPerTarget(long now) {
    if (timing.pauseObjectiveMillis() <= 0) {
      return timing.slots();
    }
    boolean isMeasurable = isObserved(now) && meanRunning >= MINIMUM_RUNNING;
    double millisPerRequest =
        isMeasurable
            ? (meanPassMillis - timing.basePassMillis()) / meanRunning
            : timing.millisPerRequest();
    double available =
        timing.pauseObjectiveMillis()
            - timing.basePassMillis()
            - (isMeasurable ? DEVIATIONS * deviationMillis : 0);
    if (millisPerRequest <= 0) {
      return timing.slots();
    }
    return Math.max(1, Math.min(timing.slots(), available / millisPerRequest));
  }

  /**
   * Returns the mean number of requests that an engine may run so that nearly all engines have a
   * free slot for a request that is sent to them. With more, a request of any class may have to
   * wait at its engine until another one's answer ends, which takes longer than its latency
   * objective.
   *
   * @param unreported mean number of requests that were sent to an engine since its last report
   * @param now the current time, milliseconds
   */
  public double requestsPerTargetWithFreeSlot(double unreported, long now) {
    // The entries choose independently of each other, so the number varies as a Poisson variable.
    double unknown = DEVIATIONS * Math.sqrt(Math.max(0, unreported));
    return Math.max(1, Math.min(requestsPerTarget(now), timing.slots() - unknown));
  }

  /** Returns how many requests end per second, with the given number of them running. */
  public double endsPerSecond(double running, long now) {
    return running * 1_000 / (timing.passesPerAnswer() * passMillis(now));
  }

  private boolean isObserved(long now) {
    return now - observedAt <= MAXIMUM_AGE_MILLIS;
  }
}
