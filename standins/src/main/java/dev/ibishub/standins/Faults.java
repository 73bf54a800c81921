package dev.ibishub.standins;

/**
 * Faults to inject into a stand-in, as the JSON of {@code PUT /control/faults}; absent keys mean no
 * fault.
 *
 * @param outage whether every call is refused as not run
 * @param freeze whether calls wait, and steps stand still, until this is false again
 * @param slowMillis how long each call waits before it is run, milliseconds
 * @param loseNextAnswers how many of the next calls that change something take effect and then lose
 *     their answer
 * @param cutNextStreams how many of the next generations lose their connection on the way
 * @param cutAfterPieces after how many pieces those are cut
 * @param slowFactor how many times longer this rank's part of a step takes, 0 for no change
 */
public record Faults(
    boolean outage,
    boolean freeze,
    long slowMillis,
    int loseNextAnswers,
    int cutNextStreams,
    int cutAfterPieces,
    double slowFactor) {
  /** A stand-in without faults. */
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
