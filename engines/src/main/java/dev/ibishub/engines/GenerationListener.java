package dev.ibishub.engines;

/** Takes the pieces of an answer as they come. */
@FunctionalInterface
public interface GenerationListener {
  /**
   * Takes the next piece. Blocking here holds the engine's connection back.
   *
   * @param number the piece's number, from 0 without gaps
   * @param text the piece's text, one token or more
   */
  void onPiece(long number, String text);
}
