package dev.ibishub.core.serving.admission;

/**
 * Timing of a service's engines as their operators state it.
 *
 * @param slots number of requests that an engine runs concurrently
 * @param basePassMillis duration of a pass without requests, milliseconds
 * @param fullPassMillis duration of a pass with all slots in use, milliseconds
 * @param passesPerAnswer number of passes in which an answer of usual length is produced
 * @param pauseObjectiveMillis shortest pause objective of the service's routes, milliseconds; 0 for
 *     none
 */
public record EngineTiming(
    int slots,
    double basePassMillis,
    double fullPassMillis,
    double passesPerAnswer,
    long pauseObjectiveMillis) {
  /** Checks that the figures are usable as divisors. */
  public EngineTiming {
    if (slots < 1 || fullPassMillis <= 0 || passesPerAnswer <= 0) {
      throw new IllegalArgumentException(
          "slots %d, pass %.1f ms, %.1f passes".formatted(slots, fullPassMillis, passesPerAnswer));
    }
  }

  /** Returns the stated time that each running request adds to a pass, milliseconds. */
  double millisPerRequest() {
    return Math.max(0, fullPassMillis - basePassMillis) / slots;
  }
}
