package dev.ibishub.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * Assembles the chunks of one attempt's answer at the entry. Chunks may arrive late, repeatedly and
 * out of order; each is returned once and in order.
 *
 * <p>Chunks of two generations of one request must never be mixed, since the caller would get a
 * text that no engine wrote. An assembler therefore accepts chunks of its own attempt only. A new
 * attempt needs a new assembler, and nothing of the old one may have reached the caller unless the
 * caller accepts a restart. Count and checksum at the end reveal chunks that were lost or changed
 * on the way.
 *
 * <p>Not thread-safe: used by the thread of one connection.
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
  private final Map<Long, byte[]> outOfOrder = new HashMap<>();
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
   * @param attemptId id of the attempt
   * @param window number of chunks, counted from the next one, that are accepted; bounds the memory
   * @return the assembler
   */
  public static AnswerAssembler forAttempt(String attemptId, int window) {
    return new AnswerAssembler(attemptId, window);
  }

  /**
   * Accepts a chunk.
   *
   * @param attempt id of the chunk's attempt; a chunk of another attempt is ignored
   * @param number number of the chunk
   * @param data bytes of the chunk
   * @return the chunks that can now be sent to the caller, in order; each is returned once
   */
  public List<byte[]> accept(String attempt, long number, byte[] data) {
    if (!attempt.equals(attemptId) || result != null || number < nextNumber) {
      return List.of();
    }
    if (number - nextNumber >= window) {
      result = ResultCode.ANSWER_CORRUPTED;
      return List.of();
    }
    outOfOrder.putIfAbsent(number, data);
    List<byte[]> deliverable = removeInOrder();
    updateResult();
    return deliverable;
  }

  /**
   * Accepts the end of the answer, which may arrive before late chunks.
   *
   * @param attempt id of the end's attempt; an end of another attempt is ignored
   * @param answerEnd the end
   * @return the value of {@link #result} afterwards
   */
  public Optional<ResultCode> end(String attempt, AnswerEnd answerEnd) {
    if (attempt.equals(attemptId) && end == null) {
      end = answerEnd;
      updateResult();
    }
    return result();
  }

  /**
   * Returns the result of the answer.
   *
   * @return empty while chunks or the end are missing; then {@code OK} for a complete answer,
   *     {@code ANSWER_CORRUPTED} if count or checksum don't match or a chunk lies outside the
   *     window, or else the agent's own code
   */
  public Optional<ResultCode> result() {
    return Optional.ofNullable(result);
  }

  /**
   * Returns the number of the next chunk to send to the caller.
   *
   * @return the number of chunks returned so far
   */
  public long nextNumber() {
    return nextNumber;
  }

  private List<byte[]> removeInOrder() {
    List<byte[]> deliverable = new ArrayList<>();
    while (outOfOrder.containsKey(nextNumber)) {
      byte[] data = outOfOrder.remove(nextNumber);
      checksum.update(data);
      deliverable.add(data);
      nextNumber++;
    }
    return deliverable;
  }

  private void updateResult() {
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
    boolean complete =
        nextNumber == end.chunkCount()
            && outOfOrder.isEmpty()
            && (int) checksum.getValue() == end.checksum();
    result = complete ? ResultCode.OK : ResultCode.ANSWER_CORRUPTED;
  }
}
