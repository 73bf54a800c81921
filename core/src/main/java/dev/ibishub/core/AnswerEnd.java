package dev.ibishub.core;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * How an attempt's answer ended.
 *
 * @param code the result
 * @param detail for people, empty when all went well
 * @param chunkCount how many chunks the whole answer has
 * @param checksum CRC-32C over the data of all chunks in order
 * @param retryAt the earliest time at which another try makes sense, if the result says so
 * @param usedTokens tokens of prompt and answer
 * @param httpStatus status of a plain service's answer, or 0
 * @param headers end-to-end headers of a plain service's answer
 */
public record AnswerEnd(
    ResultCode code,
    String detail,
    long chunkCount,
    int checksum,
    Optional<Instant> retryAt,
    long usedTokens,
    int httpStatus,
    Map<String, List<String>> headers) {
  /** Checks the counts and copies the headers. */
  public AnswerEnd {
    if (chunkCount < 0 || usedTokens < 0) {
      throw new IllegalArgumentException("chunkCount and usedTokens must not be negative");
    }
    headers = Map.copyOf(headers);
  }

  /**
   * Makes the end of an answer that went well; {@link StreamBuffer#end} fills in its totals.
   *
   * @param usedTokens tokens of prompt and answer
   * @return the end
   */
  public static AnswerEnd success(long usedTokens) {
    return new AnswerEnd(ResultCode.OK, "", 0, 0, Optional.empty(), usedTokens, 0, Map.of());
  }

  /**
   * Makes the end of an answer that failed.
   *
   * @param failure why
   * @return the end
   */
  public static AnswerEnd failure(ResultException failure) {
    return new AnswerEnd(
        failure.code(), failure.getMessage(), 0, 0, failure.retryAt(), 0, 0, Map.of());
  }

  /**
   * Returns this end with the totals of the chunks that went before it.
   *
   * @param count how many chunks
   * @param crc CRC-32C over their data in order
   * @return the end with its totals
   */
  public AnswerEnd withTotals(long count, int crc) {
    return new AnswerEnd(code, detail, count, crc, retryAt, usedTokens, httpStatus, headers);
  }
}
