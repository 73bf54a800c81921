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

/** Sends failures to callers as problem JSON (RFC 9457) with the numbered result code. */
final class Problem {
  private static final Duration DEFAULT_RETRY_DELAY = Duration.ofSeconds(1);

  private Problem() {}

  /** Returns the problem JSON, with {@code retryAt} where the caller may retry later. */
  static ObjectNode json(ResultException failure, String requestId, Instant now) {
    ObjectNode problem = ProblemDocument.of(failure).put("requestId", requestId);
    if (failure.code().retry() == ResultCode.Retry.LATER) {
      problem.put("retryAt", retryAt(failure, now).toString());
    }
    return problem;
  }

  /** Sends the problem as the complete response and closes the exchange. */
  static void send(HttpExchange exchange, ResultException failure, String requestId, Instant now)
      throws IOException {
    byte[] body = json(failure, requestId, now).toString().getBytes(StandardCharsets.UTF_8);
    if (failure.code().retry() == ResultCode.Retry.LATER) {
      exchange.getResponseHeaders().set("Retry-After", retryAfter(failure, now));
    }
    HttpExchanges.send(exchange, failure.code().httpStatus(), ProblemDocument.CONTENT_TYPE, body);
  }

  private static Instant retryAt(ResultException failure, Instant now) {
    return failure.retryAt().orElse(now.plus(DEFAULT_RETRY_DELAY));
  }

  /**
   * Returns whole seconds, rounded up and at least 1: a caller that retries too early would only be
   * refused again.
   */
  private static String retryAfter(ResultException failure, Instant now) {
    long millis = Math.max(0, Duration.between(now, retryAt(failure, now)).toMillis());
    return Long.toString(Math.max(1, (millis + 999) / 1000));
  }
}
