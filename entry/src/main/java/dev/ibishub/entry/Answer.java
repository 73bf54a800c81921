package dev.ibishub.entry;

import dev.ibishub.core.AnswerEnd;
import dev.ibishub.core.ResultException;
import java.io.IOException;

/**
 * Where the answer of one request goes. Calls come one at a time, in order; each may block while
 * the caller reads slowly.
 */
interface Answer {
  /**
   * Takes the next piece.
   *
   * @param stream the name under which the answer can be joined again
   * @param number the piece's number
   * @param data its bytes
   * @throws IOException if the caller is gone
   */
  void piece(String stream, long number, byte[] data) throws IOException;

  /** Whether a caller that lost its connection can join the rest at another entry. */
  default boolean isJoinable() {
    return false;
  }

  /** Sends what was taken so far; called when no further piece waits. */
  default void flush() throws IOException {}

  /** Says that all pieces so far are void, as another attempt begins. */
  void restart() throws IOException;

  /** Ends a whole answer. */
  void succeed(AnswerEnd end) throws IOException;

  /** Ends an answer that failed, in part or from the start. */
  void fail(ResultException failure) throws IOException;
}
