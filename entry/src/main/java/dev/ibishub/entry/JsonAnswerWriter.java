package dev.ibishub.entry;

import com.sun.net.httpserver.HttpExchange;
import dev.ibishub.core.AnswerEnd;
import dev.ibishub.core.ResultException;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.InstantSource;

/** Collects a model's answer and sends it as one JSON document. */
final class JsonAnswerWriter implements AnswerWriter {
  private final HttpExchange exchange;
  private final String requestId;
  private final CompletionFormat format;
  private final InstantSource clock;
  private final ByteArrayOutputStream text = new ByteArrayOutputStream();

  JsonAnswerWriter(
      HttpExchange exchange, String requestId, CompletionFormat format, InstantSource clock) {
    this.exchange = exchange;
    this.requestId = requestId;
    this.format = format;
    this.clock = clock;
  }

  @Override
  public void writeChunk(String stream, long number, byte[] data) {
    text.writeBytes(data);
  }

  @Override
  public void restart() {
    text.reset();
  }

  @Override
  public void succeed(AnswerEnd end) throws IOException {
    HttpExchanges.sendJson(
        exchange, 200, format.completion(text.toString(StandardCharsets.UTF_8), end.usedTokens()));
  }

  @Override
  public void fail(ResultException failure) throws IOException {
    Problem.send(exchange, failure, requestId, clock.instant());
  }
}
