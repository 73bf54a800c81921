package dev.ibishub.standins;

import dev.ibishub.core.ResultCode;
import dev.ibishub.outbound.ErrorBody;
import dev.ibishub.outbound.OutboundJson;
import java.io.IOException;
import java.io.OutputStream;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** A stand-in's HTTP response: a complete body, or one that is written incrementally. */
@SuppressWarnings("ArrayRecordComponent") // Passed on, never compared or hashed.
record StandInReply(
    int status, Map<String, String> headers, byte[] body, Optional<BodyWriter> writer) {
  /** Writes a response body incrementally. */
  @FunctionalInterface
  interface BodyWriter {
    void write(OutputStream out) throws IOException, InterruptedException;
  }

  static StandInReply json(Object value) {
    return new StandInReply(200, Map.of(), OutboundJson.write(value), Optional.empty());
  }

  static StandInReply empty() {
    return new StandInReply(204, Map.of(), new byte[0], Optional.empty());
  }

  static StandInReply streamed(BodyWriter writer) {
    return new StandInReply(200, Map.of(), new byte[0], Optional.of(writer));
  }

  /** Returns this response with one more header. */
  StandInReply withHeader(String name, String value) {
    Map<String, String> more = new HashMap<>(headers);
    more.put(name, value);
    return new StandInReply(status, Map.copyOf(more), body, writer);
  }

  static StandInReply refusal(ResultCode code, String detail) {
    return refusal(code, detail, 0);
  }

  static StandInReply refusal(ResultCode code, String detail, long retryAfterMillis) {
    return new StandInReply(
        code.httpStatus(),
        Map.of(),
        OutboundJson.write(new ErrorBody(code.name(), detail, retryAfterMillis)),
        Optional.empty());
  }
}
