package dev.ibishub.entry;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Locale;

/** Failures as callers see them: problem JSON of RFC 9457 with the numbered result code. */
final class Problem {
  static final String CONTENT_TYPE = "application/problem+json";

  private static final Duration DEFAULT_RETRY = Duration.ofSeconds(1);

  private Problem() {}

  /** Returns the problem as JSON. */
  static ObjectNode json(ResultException failure, String requestId, Instant now) {
    ResultCode code = failure.code();
    ObjectNode problem = JsonNodeFactory.instance.objectNode();
    problem.put("type", "about:blank");
    problem.put("title", code.name().toLowerCase(Locale.ROOT).replace('_', ' '));
    problem.put("status", code.httpStatus());
    problem.put("detail", failure.getMessage());
    problem.put("resultCode", code.number());
    problem.put("outcome", outcome(code));
    problem.put("requestId", requestId);
    if (code.retry() == ResultCode.Retry.LATER) {
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
    Http.send(exchange, failure.code().httpStatus(), CONTENT_TYPE, body);
  }

  static String outcome(ResultCode code) {
    return code.outcome().name().toLowerCase(Locale.ROOT).replace('_', ' ');
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
