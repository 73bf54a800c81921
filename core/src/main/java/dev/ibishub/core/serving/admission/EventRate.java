package dev.ibishub.core.serving.admission;

/** Moving average of how often something happens. Not thread-safe. */
final class EventRate {
  /** Time constant, milliseconds; long enough for a few requests of a class at each entry. */
  private static final double SMOOTHING_MILLIS = 2_000;

  private double perSecond;
  private long updatedAt = Long.MIN_VALUE / 2;

  void onEvent(long now) {
    perSecond = perSecond(now) + 1_000 / SMOOTHING_MILLIS;
    updatedAt = now;
  }

  double perSecond(long now) {
    return perSecond * Math.exp(-(now - updatedAt) / SMOOTHING_MILLIS);
  }
}
