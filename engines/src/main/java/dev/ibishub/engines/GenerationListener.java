package dev.ibishub.engines;

/** Receives the pieces of an answer as they arrive. */
@FunctionalInterface
public interface GenerationListener {
  /**
   * Handles the next piece. Blocking here applies backpressure to the engine.
   *
   * @param number the piece's number, without gaps, starting at 0 or at the position of a resume
   * @param text the piece's text, one or more tokens
   */
  void onPiece(long number, String text);
}
