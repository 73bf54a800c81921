package dev.ibishub.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.Headers;
import com.sun.net.httpserver.HttpExchange;
import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** HTTP helpers that all endpoints of the entry share. */
final class HttpExchanges {
  static final ObjectMapper JSON = new ObjectMapper();
  static final String JSON_TYPE = "application/json";

  private static final String BEARER_PREFIX = "Bearer ";

  private HttpExchanges() {}

  /**
   * Reads the complete body; fails with {@code TOO_LARGE} if it is longer than allowed, after
   * reading at most one byte beyond the limit.
   */
  static byte[] readBody(HttpExchange exchange, int maximumBytes) throws IOException {
    InputStream in = exchange.getRequestBody();
    byte[] body = in.readNBytes(maximumBytes + 1);
    if (body.length > maximumBytes) {
      throw new ResultException(
          ResultCode.TOO_LARGE, "the body is longer than " + maximumBytes + " bytes");
    }
    return body;
  }

  /** Parses a JSON object; anything else fails with {@code MALFORMED_REQUEST}. */
  static JsonNode readJsonObject(byte[] body) throws IOException {
    try {
      JsonNode node = JSON.readTree(body);
      if (node != null && node.isObject()) {
        return node;
      }
    } catch (JsonProcessingException e) {
      throw new ResultException(
          ResultCode.MALFORMED_REQUEST,
          "the body is no JSON at line "
              + e.getLocation().getLineNr()
              + ", column "
              + e.getLocation().getColumnNr());
    }
    throw new ResultException(ResultCode.MALFORMED_REQUEST, "the body is no JSON object");
  }

  /** Returns the bearer token, or empty if the request has none. */
  static Optional<String> bearerToken(Headers headers) {
    return Optional.ofNullable(headers.getFirst("Authorization"))
        .filter(value -> value.startsWith(BEARER_PREFIX))
        .map(value -> value.substring(BEARER_PREFIX.length()));
  }

  /** Sends a complete response and closes the exchange. */
  static void send(HttpExchange exchange, int status, String contentType, byte[] body)
      throws IOException {
    try (exchange) {
      exchange.getResponseHeaders().set("Content-Type", contentType);
      exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
      exchange.getResponseBody().write(body);
    }
  }

  static void sendJson(HttpExchange exchange, int status, JsonNode body) throws IOException {
    send(exchange, status, JSON_TYPE, body.toString().getBytes(StandardCharsets.UTF_8));
  }
}
