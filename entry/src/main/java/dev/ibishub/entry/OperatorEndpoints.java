package dev.ibishub.entry;

import com.sun.net.httpserver.HttpExchange;
import dev.ibishub.administration.OperatorAnswer;
import dev.ibishub.administration.OperatorApi;
import dev.ibishub.administration.OperatorCall;
import dev.ibishub.administration.OperatorTokens;
import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import dev.ibishub.settings.EntrySettings;
import dev.ibishub.settings.OperatorSettings;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.stream.Collectors;

/** HTTP endpoints of the operator API. Thread-safe. */
final class OperatorEndpoints {
  private static final String PREFIX = "/admin/v1";

  private final EntrySettings settings;
  private final OperatorTokens tokens;
  private final OperatorApi api;
  private final Executor threads;

  /**
   * Creates the endpoints.
   *
   * @param threads write the answers; an operator that reads slowly blocks one
   */
  OperatorEndpoints(EntrySettings settings, OperatorApi api, Executor threads) {
    this.settings = settings;
    this.tokens = OperatorTokens.of(settings.operators());
    this.api = api;
    this.threads = threads;
  }

  void addTo(EndpointServer callerServer) {
    callerServer.add(PREFIX + "/", this::answer);
  }

  private void answer(HttpExchange exchange, String requestId) throws IOException {
    OperatorSettings operator =
        tokens
            .authenticate(exchange.getRequestHeaders().getFirst("Authorization"))
            .orElseThrow(
                () ->
                    new ResultException(
                        ResultCode.UNAUTHENTICATED, "no operator has the token given"));
    byte[] body = HttpExchanges.readBody(exchange, settings.maximumBodyBytes());
    OperatorCall call =
        new OperatorCall(
            exchange.getRequestMethod(),
            exchange.getRequestURI().getPath().substring(PREFIX.length()),
            query(exchange),
            new String(body, StandardCharsets.UTF_8),
            operator);
    api.answer(call).thenAcceptAsync(answer -> send(exchange, answer), threads);
  }

  private static void send(HttpExchange exchange, OperatorAnswer answer) {
    try {
      HttpExchanges.send(
          exchange,
          answer.code().httpStatus(),
          answer.contentType(),
          answer.body().getBytes(StandardCharsets.UTF_8));
    } catch (IOException e) {
      // The operator has disconnected; the audit trail records what the call did.
      exchange.close();
    }
  }

  private static Map<String, String> query(HttpExchange exchange) {
    String query = Optional.ofNullable(exchange.getRequestURI().getRawQuery()).orElse("");
    return Arrays.stream(query.split("&"))
        .map(parameter -> parameter.split("=", 2))
        .filter(parts -> parts.length == 2)
        .collect(
            Collectors.toMap(
                parts -> decode(parts[0]), parts -> decode(parts[1]), (first, second) -> first));
  }

  private static String decode(String text) {
    try {
      return URLDecoder.decode(text, StandardCharsets.UTF_8);
    } catch (IllegalArgumentException e) {
      throw new ResultException(ResultCode.MALFORMED_REQUEST, "the query is not well formed");
    }
  }
}
