package dev.ibishub.standins;

/**
 * Faults to inject into a stand-in, read from the JSON of {@code PUT /control/faults}; absent keys
 * mean no fault.
 *
 * @param outage whether every call is refused without being run
 * @param freeze whether calls block, and steps don't begin, while this is true
 * @param slowMillis delay before each call is run, in milliseconds
 * @param loseNextAnswers number of further calls other than GET that take effect and then lose
 *     their answer
 * @param cutNextStreams number of further streamed answers whose connection is cut
 * @param cutAfterPieces number of pieces after which such a connection is cut
 * @param slowFactor factor by which this rank's time per step grows, 0 for no change
 */
public record Faults(
    boolean outage,
    boolean freeze,
    long slowMillis,
    int loseNextAnswers,
    int cutNextStreams,
    int cutAfterPieces,
    double slowFactor) {
  /** Returns the settings that inject no fault. */
  public static Faults none() {
    return new Faults(false, false, 0, 0, 0, 0, 0);
  }

  Faults withLoseNextAnswers(int count) {
    return new Faults(
        outage, freeze, slowMillis, count, cutNextStreams, cutAfterPieces, slowFactor);
  }

  Faults withCutNextStreams(int count) {
    return new Faults(
        outage, freeze, slowMillis, loseNextAnswers, count, cutAfterPieces, slowFactor);
  }
}
