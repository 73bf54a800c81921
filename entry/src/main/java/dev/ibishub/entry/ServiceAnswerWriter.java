package dev.ibishub.entry;

import com.sun.net.httpserver.HttpExchange;
import dev.ibishub.core.AnswerEnd;
import dev.ibishub.core.ResultException;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.time.InstantSource;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** Collects the answer of a plain service and sends it with the service's status and headers. */
final class ServiceAnswerWriter implements AnswerWriter {
  private static final Set<String> STRIPPED_HEADERS =
      Set.of("connection", "keep-alive", "transfer-encoding", "content-length", "upgrade");

  private static final int LOWEST_FINAL_STATUS = 200;
  private static final int HIGHEST_STATUS = 599;

  private final HttpExchange exchange;
  private final String requestId;
  private final InstantSource clock;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();

  ServiceAnswerWriter(HttpExchange exchange, String requestId, InstantSource clock) {
    this.exchange = exchange;
    this.requestId = requestId;
    this.clock = clock;
  }

  @Override
  public void writeChunk(String stream, long number, byte[] data) {
    body.writeBytes(data);
  }

  @Override
  public void restart() {
    body.reset();
  }

  /** Whether a caller can get a final response with a status. */
  static boolean isFinalStatus(int status) {
    return status >= LOWEST_FINAL_STATUS && status <= HIGHEST_STATUS;
  }

  @Override
  public boolean isWholeWith(AnswerEnd end) {
    return isFinalStatus(end.httpStatus());
  }

  @Override
  public void succeed(AnswerEnd end) throws IOException {
    end.headers().entrySet().stream()
        .filter(header -> !STRIPPED_HEADERS.contains(header.getKey().toLowerCase(Locale.ROOT)))
        .forEach(header -> exchange.getResponseHeaders().put(header.getKey(), header.getValue()));
    String contentType =
        end.headers().entrySet().stream()
            .filter(header -> header.getKey().equalsIgnoreCase("content-type"))
            .map(header -> header.getValue().get(0))
            .findFirst()
            .orElse("application/octet-stream");
    exchange.getResponseHeaders().put("Content-Type", List.of(contentType));
    HttpExchanges.send(exchange, end.httpStatus(), contentType, body.toByteArray());
  }

  @Override
  public void fail(ResultException failure) throws IOException {
    Problem.send(exchange, failure, requestId, clock.instant());
  }
}
