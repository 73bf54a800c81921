package dev.ibishub.core;

/**
 * One chunk of an answer.
 *
 * @param number position in the answer of one attempt, from 0 without gaps
 * @param data bytes of the chunk; must not be modified
 */
@SuppressWarnings("ArrayRecordComponent") // Passed on, never compared or hashed.
public record NumberedChunk(long number, byte[] data) {
  /** Checks the number. */
  public NumberedChunk {
    if (number < 0) {
      throw new IllegalArgumentException("number must not be negative: " + number);
    }
  }
}
