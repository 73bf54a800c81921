package dev.ibishub.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * Puts the chunks of one attempt's answer together at the entry: late, twice or out of order they
 * come in, once and in order they go out.
 *
 * <p>Two generations of one request must never be spliced: the caller would get a text that no
 * engine wrote. An assembler therefore takes chunks of its own attempt only; a new attempt needs a
 * new assembler, and nothing of the old one may have reached the caller unless the caller accepts a
 * restart. Count and checksum at the end show a chunk that was lost or exchanged on the way.
 *
 * <p>Not thread-safe: one connection's thread owns it.
 *
 * <pre>{@code
 * AnswerAssembler answer = AnswerAssembler.forAttempt(attemptId, 1024);
 * answer.accept(attemptId, number, data).forEach(caller::send);
 * answer.end(attemptId, end).ifPresent(code -> caller.finish(code));
 * }</pre>
 */
public final class AnswerAssembler {
  private final String attemptId;
  private final int window;
  private final Map<Long, byte[]> early = new HashMap<>();
  private final CRC32C checksum = new CRC32C();
  private long nextNumber;
  private AnswerEnd end;
  private ResultCode result;

  private AnswerAssembler(String attemptId, int window) {
    this.attemptId = attemptId;
    this.window = window;
  }

  /**
   * Creates the assembler of one attempt.
   *
   * @param attemptId the attempt
   * @param window how far ahead of the next chunk one may come; the bound on memory
   * @return the assembler
   */
  public static AnswerAssembler forAttempt(String attemptId, int window) {
    return new AnswerAssembler(attemptId, window);
  }

  /**
   * Takes a chunk.
   *
   * @param attempt whose chunk it is; another attempt's chunk is ignored
   * @param number its number
   * @param data its bytes
   * @return the chunks that may go to the caller now, in order; each is returned once
   */
  public List<byte[]> accept(String attempt, long number, byte[] data) {
    if (!attempt.equals(attemptId) || result != null || number < nextNumber) {
      return List.of();
    }
    if (number - nextNumber >= window) {
      result = ResultCode.ANSWER_CORRUPTED;
      return List.of();
    }
    early.putIfAbsent(number, data);
    List<byte[]> released = release();
    settle();
    return released;
  }

  /**
   * Takes the end of the answer, which may come before late chunks.
   *
   * @param attempt whose end it is; another attempt's end is ignored
   * @param how the end
   * @return what {@link #result} returns now
   */
  public Optional<ResultCode> end(String attempt, AnswerEnd how) {
    if (attempt.equals(attemptId) && end == null) {
      end = how;
      settle();
    }
    return result();
  }

  /**
   * Returns what became of the answer.
   *
   * @return empty while chunks or the end are missing; then {@code OK} for a whole answer, {@code
   *     ANSWER_CORRUPTED} for one whose count or checksum is wrong, or the agent's own code
   */
  public Optional<ResultCode> result() {
    return Optional.ofNullable(result);
  }

  /**
   * Returns the number of the next chunk to go to the caller.
   *
   * @return how many chunks were released
   */
  public long nextNumber() {
    return nextNumber;
  }

  private List<byte[]> release() {
    List<byte[]> released = new ArrayList<>();
    while (early.containsKey(nextNumber)) {
      byte[] data = early.remove(nextNumber);
      checksum.update(data);
      released.add(data);
      nextNumber++;
    }
    return released;
  }

  private void settle() {
    if (end == null || result != null) {
      return;
    }
    if (end.code() != ResultCode.OK) {
      result = end.code();
      return;
    }
    if (nextNumber < end.chunkCount()) {
      return;
    }
    boolean whole =
        nextNumber == end.chunkCount()
            && early.isEmpty()
            && (int) checksum.getValue() == end.checksum();
    result = whole ? ResultCode.OK : ResultCode.ANSWER_CORRUPTED;
  }
}
