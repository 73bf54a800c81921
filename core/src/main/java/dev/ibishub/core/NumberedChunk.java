package dev.ibishub.core;

/**
 * One piece of an answer.
 *
 * @param number its place in the answer of one attempt, from 0 without gaps
 * @param data its bytes; not to be changed
 */
@SuppressWarnings("ArrayRecordComponent") // Handed on, never compared or hashed.
public record NumberedChunk(long number, byte[] data) {
  /** Checks the number. */
  public NumberedChunk {
    if (number < 0) {
      throw new IllegalArgumentException("number must not be negative: " + number);
    }
  }
}
