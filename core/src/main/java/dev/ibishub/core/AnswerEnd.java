package dev.ibishub.core;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The end of an attempt's answer.
 *
 * @param code the result
 * @param detail explanation for people, empty on success
 * @param chunkCount number of chunks in the whole answer
 * @param checksum CRC-32C over the data of all chunks in order
 * @param retryAt the earliest time at which a retry makes sense, if the result names one
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
   * Creates the end of a successful answer; {@link StreamBuffer#end} fills in its totals.
   *
   * @param usedTokens tokens of prompt and answer
   * @return the end
   */
  public static AnswerEnd success(long usedTokens) {
    return new AnswerEnd(ResultCode.OK, "", 0, 0, Optional.empty(), usedTokens, 0, Map.of());
  }

  /**
   * Creates the end of a failed answer.
   *
   * @param failure the reason
   * @return the end
   */
  public static AnswerEnd failure(ResultException failure) {
    return new AnswerEnd(
        failure.code(), failure.getMessage(), 0, 0, failure.retryAt(), 0, 0, Map.of());
  }

  /**
   * Returns a copy of this end with the totals of the preceding chunks.
   *
   * @param count number of chunks
   * @param crc CRC-32C over their data in order
   * @return the end with its totals
   */
  public AnswerEnd withTotals(long count, int crc) {
    return new AnswerEnd(code, detail, count, crc, retryAt, usedTokens, httpStatus, headers);
  }
}
