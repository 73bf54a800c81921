package dev.ibishub.core.serving.admission;

/**
 * How long the callers of a route usually say that they wait, by which a caller that returns after
 * a refusal is recognized: it has at least a tenth of that time less. Thread-safe by one lock.
 */
public final class UsualWait {
  /** Fraction of the usual wait below which a caller counts as returning. */
  private static final double RETURNING = 0.9;

  /** Weight of a shorter wait in the estimate; a longer one counts at once. */
  private static final double SHORTER_WEIGHT = 0.02;

  private double usualMillis;

  /**
   * Records a request.
   *
   * @param waitMillis how long its caller waits, milliseconds
   * @return whether it appears to have been refused before
   */
  public synchronized boolean isReturning(long waitMillis) {
    usualMillis =
        waitMillis >= usualMillis
            ? waitMillis
            : usualMillis + SHORTER_WEIGHT * (waitMillis - usualMillis);
    return waitMillis < RETURNING * usualMillis;
  }
}
