package dev.ibishub.core.serving;

import java.util.OptionalLong;

/**
 * Computes after what time a caller whose request was refused should retry. Stateless.
 *
 * <p>Callers retry only once or twice, so advice that is too short wastes their attempts. The
 * advice has jitter, so that callers refused at the same moment do not all return together.
 */
public final class RetryAdvice {
  /** Minimum advice if it is not known when a slot comes free, milliseconds. */
  private static final long FULL_MILLIS = 250;

  /** Range of the jitter on top of {@link #FULL_MILLIS}, milliseconds. */
  private static final long FULL_JITTER_MILLIS = 500;

  /**
   * Minimum advice for full engines, as a multiple of the time until a slot comes free: the
   * requests that wait already take the first free slots.
   */
  private static final double SLOT_TURNS = 1;

  /** Range of the jitter on top of {@link #SLOT_TURNS}: the slots left for the callers refused. */
  private static final double SLOT_TURNS_JITTER = 2;

  /** Callers follow the advice only up to this share of the time that they have left. */
  private static final double HONOURED_SHARE = 1.0 / 3;

  /**
   * Minimum advice if no target can run the request, as a share of the time that callers honour. An
   * engine takes seconds to restart and its group another half second; a caller that retries
   * earlier is refused for good.
   */
  private static final double MINIMUM_CLOSED_SHARE = 0.6;

  /**
   * Time within which a starting process usually has its configuration, milliseconds. Where the
   * configuration is available it takes 0.4 to 0.5 s on a VM with three quarters of a core. A
   * process that has none after this time has to wait for the store, which may take seconds.
   */
  private static final long USUAL_START_MILLIS = 1_000;

  /** Time left that is assumed of a caller that does not state it, milliseconds. */
  private static final long DEFAULT_LEFT_MILLIS = 1_500;

  private RetryAdvice() {}

  /**
   * Returns the advice if all targets are full or a target failed to accept the request.
   *
   * @param jitter a random number from 0 to below 1, uniformly distributed
   * @return milliseconds
   */
  public static long whenFull(double jitter) {
    return FULL_MILLIS + (long) (jitter * FULL_JITTER_MILLIS);
  }

  /**
   * Returns the advice if all model engines are full.
   *
   * @param slotWaitMillis expected time until a slot of a full engine comes free, milliseconds
   * @param jitter a random number from 0 to below 1, uniformly distributed
   * @return milliseconds
   */
  public static long whenFull(double slotWaitMillis, double jitter) {
    return (long) (slotWaitMillis * (SLOT_TURNS + SLOT_TURNS_JITTER * jitter));
  }

  /**
   * Returns the advice if this process has no configuration yet and so can't judge requests.
   *
   * @param sinceStartMillis how long ago the process started, milliseconds
   * @param leftMillis how long the caller will wait, milliseconds; empty if it does not say
   * @param jitter a random number from 0 to below 1, uniformly distributed
   * @return milliseconds
   */
  public static long whileStarting(long sinceStartMillis, OptionalLong leftMillis, double jitter) {
    return sinceStartMillis < USUAL_START_MILLIS
        ? whenFull(jitter)
        : whileClosed(leftMillis.orElse(DEFAULT_LEFT_MILLIS), jitter);
  }

  /**
   * Returns the advice if no target accepts requests at present.
   *
   * @param leftMillis time until the request's deadline, milliseconds
   * @param jitter a random number from 0 to below 1, uniformly distributed
   * @return milliseconds
   */
  public static long whileClosed(long leftMillis, double jitter) {
    double share = MINIMUM_CLOSED_SHARE + (1 - MINIMUM_CLOSED_SHARE) * jitter;
    return Math.max(FULL_MILLIS, (long) (leftMillis * HONOURED_SHARE * share));
  }

  /**
   * Returns the advice if all targets have asked this entry to back off.
   *
   * @param backOffMillis time until the first back-off ends, milliseconds
   * @param leftMillis time until the request's deadline, milliseconds
   * @param jitter a random number from 0 to below 1, uniformly distributed
   * @return milliseconds
   */
  public static long whileBackingOff(long backOffMillis, long leftMillis, double jitter) {
    return Math.min(
        backOffMillis + (long) (jitter * FULL_JITTER_MILLIS), whileClosed(leftMillis, jitter));
  }
}
