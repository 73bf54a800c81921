package dev.ibishub.wire;

import dev.ibishub.core.AnswerEnd;
import dev.ibishub.core.ResultCode;
import dev.ibishub.wire.generated.End;
import dev.ibishub.wire.generated.Header;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Converts the end of an answer between the record {@link AnswerEnd} and the message {@link End}.
 */
public final class AnswerEnds {
  private AnswerEnds() {}

  /** Converts a record to the message that ends the given attempt. */
  public static End toWire(String attemptId, AnswerEnd end) {
    return End.newBuilder()
        .setAttemptId(attemptId)
        .setResultCode(end.code().number())
        .setDetail(end.detail())
        .setChunkCount(end.chunkCount())
        .setChecksum(end.checksum())
        .setRetryAtMillis(end.retryAt().map(Instant::toEpochMilli).orElse(0L))
        .setUsedTokens(end.usedTokens())
        .setHttpStatus(end.httpStatus())
        .addAllHeaders(headersToWire(end.headers()))
        .build();
  }

  /**
   * Converts a message to the record. An unknown result code, for example of a newer release, does
   * not tell whether the attempt ran, so it becomes {@code OUTCOME_UNKNOWN}.
   */
  public static AnswerEnd fromWire(End end) {
    return new AnswerEnd(
        ResultCode.ofNumber(end.getResultCode()).orElse(ResultCode.OUTCOME_UNKNOWN),
        end.getDetail(),
        end.getChunkCount(),
        end.getChecksum(),
        end.getRetryAtMillis() == 0
            ? Optional.empty()
            : Optional.of(Instant.ofEpochMilli(end.getRetryAtMillis())),
        end.getUsedTokens(),
        end.getHttpStatus(),
        headersFromWire(end.getHeadersList()));
  }

  /** Converts headers to messages, one per value. */
  public static List<Header> headersToWire(Map<String, List<String>> headers) {
    return headers.entrySet().stream()
        .flatMap(entry -> entry.getValue().stream().map(value -> header(entry.getKey(), value)))
        .toList();
  }

  /** Groups header messages by name; the values of a name keep their order. */
  public static Map<String, List<String>> headersFromWire(List<Header> headers) {
    return headers.stream()
        .collect(
            Collectors.toMap(
                Header::getName,
                header -> List.of(header.getValue()),
                (first, second) -> Stream.concat(first.stream(), second.stream()).toList()));
  }

  private static Header header(String name, String value) {
    return Header.newBuilder().setName(name).setValue(value).build();
  }
}
