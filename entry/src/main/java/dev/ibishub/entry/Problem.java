package dev.ibishub.entry;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import dev.ibishub.administration.ProblemDocument;
import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;

/** Failures as callers see them: problem JSON of RFC 9457 with the numbered result code. */
final class Problem {
  private static final Duration DEFAULT_RETRY = Duration.ofSeconds(1);

  private Problem() {}

  /** Returns the problem as JSON. */
  static ObjectNode json(ResultException failure, String requestId, Instant now) {
    ObjectNode problem = ProblemDocument.of(failure).put("requestId", requestId);
    if (failure.code().retry() == ResultCode.Retry.LATER) {
      problem.put("retryAt", retryAt(failure, now).toString());
    }
    return problem;
  }

  /** Sends the problem as the whole answer and closes the exchange. */
  static void send(HttpExchange exchange, ResultException failure, String requestId, Instant now)
      throws IOException {
    byte[] body = json(failure, requestId, now).toString().getBytes(StandardCharsets.UTF_8);
    if (failure.code().retry() == ResultCode.Retry.LATER) {
      exchange.getResponseHeaders().set("Retry-After", retryAfter(failure, now));
    }
    Http.send(exchange, failure.code().httpStatus(), ProblemDocument.CONTENT_TYPE, body);
  }

  private static Instant retryAt(ResultException failure, Instant now) {
    return failure.retryAt().orElse(now.plus(DEFAULT_RETRY));
  }

  /** Whole seconds, rounded up: a caller that comes back too early would only be refused again. */
  private static String retryAfter(ResultException failure, Instant now) {
    long millis = Math.max(0, Duration.between(now, retryAt(failure, now)).toMillis());
    return Long.toString(Math.max(1, (millis + 999) / 1000));
  }
}
