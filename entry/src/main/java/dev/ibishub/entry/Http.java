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

/** What all pages of the entry do with HTTP. */
final class Http {
  static final ObjectMapper JSON = new ObjectMapper();
  static final String JSON_TYPE = "application/json";

  private static final String BEARER = "Bearer ";

  private Http() {}

  /** Reads the whole body; a longer one fails with {@code TOO_LARGE} before it is kept. */
  static byte[] body(HttpExchange exchange, int maximumBytes) throws IOException {
    InputStream in = exchange.getRequestBody();
    byte[] body = in.readNBytes(maximumBytes + 1);
    if (body.length > maximumBytes) {
      throw new ResultException(
          ResultCode.TOO_LARGE, "the body is longer than " + maximumBytes + " bytes");
    }
    return body;
  }

  /** Fails with {@code TOO_LARGE} when the headers are longer than allowed. */
  static void checkHeaders(HttpExchange exchange, int maximumBytes) {
    long length =
        exchange.getRequestHeaders().entrySet().stream()
            .mapToLong(
                header ->
                    header.getValue().stream()
                        .mapToLong(value -> header.getKey().length() + value.length() + 4L)
                        .sum())
            .sum();
    if (length > maximumBytes) {
      throw new ResultException(
          ResultCode.TOO_LARGE, "the headers are longer than " + maximumBytes + " bytes");
    }
  }

  /** Reads a JSON object; anything else fails with {@code MALFORMED_REQUEST}. */
  static JsonNode object(byte[] body) throws IOException {
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

  /** Returns the bearer token, if the request has one. */
  static Optional<String> bearer(Headers headers) {
    return Optional.ofNullable(headers.getFirst("Authorization"))
        .filter(value -> value.startsWith(BEARER))
        .map(value -> value.substring(BEARER.length()));
  }

  /** Sends a whole answer and closes the exchange. */
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
