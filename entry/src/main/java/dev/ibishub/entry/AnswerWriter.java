package dev.ibishub.entry;

import dev.ibishub.core.AnswerEnd;
import dev.ibishub.core.ResultException;
import java.io.IOException;

/**
 * Sends the answer to one request to its caller, behind ibishub's own interface. Calls come one at
 * a time, in order; each may block while the caller reads slowly.
 */
interface AnswerWriter {
  /**
   * Writes the next chunk of the answer.
   *
   * @param stream the name under which a caller that lost its connection resumes the answer
   * @param number the chunk's number, from 0
   * @param data the chunk's bytes
   * @throws IOException if the caller has disconnected
   */
  void writeChunk(String stream, long number, byte[] data) throws IOException;

  /** Whether a caller that lost its connection can resume the answer at any entry. */
  default boolean isResumable() {
    return false;
  }

  /** Flushes the chunks written so far; called when no further chunk is queued. */
  default void flush() throws IOException {}

  /** Voids all chunks written so far because another attempt begins. */
  void restart() throws IOException;

  /** Whether an answer with all of its chunks may end so; otherwise it counts as damaged. */
  default boolean isWholeWith(AnswerEnd end) {
    return true;
  }

  /** Ends an answer that is complete. */
  void succeed(AnswerEnd end) throws IOException;

  /** Ends an answer that failed, before or after its first chunk. */
  void fail(ResultException failure) throws IOException;
}
