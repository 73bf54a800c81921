package dev.ibishub.entry;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.sun.net.httpserver.HttpExchange;
import dev.ibishub.core.AnswerEnd;
import dev.ibishub.core.ResultException;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.InstantSource;

/**
 * Writes a model's answer as server-sent events: one numbered event for each chunk, then an end
 * event with the count and checksum of the chunks.
 */
final class StreamedAnswerWriter implements AnswerWriter {
  static final String CONTENT_TYPE = "text/event-stream; charset=utf-8";
  static final String STREAM_HEADER = "Ibishub-Stream";

  private final HttpExchange exchange;
  private final String requestId;
  private final CompletionFormat format;
  private final long firstChunk;
  private final InstantSource clock;
  private OutputStream out;

  /**
   * Creates a writer.
   *
   * @param firstChunk number of the first chunk that the caller lacks; earlier chunks are not sent
   */
  StreamedAnswerWriter(
      HttpExchange exchange,
      String requestId,
      CompletionFormat format,
      long firstChunk,
      InstantSource clock) {
    this.exchange = exchange;
    this.requestId = requestId;
    this.format = format;
    this.firstChunk = firstChunk;
    this.clock = clock;
  }

  @Override
  public void writeChunk(String stream, long number, byte[] data) throws IOException {
    sendHeaders(stream);
    if (number < firstChunk) {
      return;
    }
    String chunk = format.chunk(new String(data, StandardCharsets.UTF_8)).toString();
    append("id: " + number + "\ndata: " + chunk + "\n\n");
  }

  @Override
  public void flush() throws IOException {
    out.flush();
  }

  @Override
  public boolean isResumable() {
    return true;
  }

  @Override
  public void restart() throws IOException {
    write("event: restart\ndata: {}\n\n");
  }

  @Override
  public void succeed(AnswerEnd end) throws IOException {
    sendHeaders("");
    String totals =
        JsonNodeFactory.instance
            .objectNode()
            .put("chunks", end.chunkCount())
            .put("checksum", Integer.toUnsignedLong(end.checksum()))
            .put("usedTokens", end.usedTokens())
            .put("resultCode", end.code().number())
            .toString();
    write("event: end\ndata: " + totals + "\n\ndata: [DONE]\n\n");
    exchange.close();
  }

  @Override
  public void fail(ResultException failure) throws IOException {
    if (out == null) {
      Problem.send(exchange, failure, requestId, clock.instant());
      return;
    }
    write("event: error\ndata: " + Problem.json(failure, requestId, clock.instant()) + "\n\n");
    exchange.close();
  }

  private void sendHeaders(String stream) throws IOException {
    if (out != null) {
      return;
    }
    exchange.getResponseHeaders().set("Content-Type", CONTENT_TYPE);
    exchange.getResponseHeaders().set("Cache-Control", "no-store");
    exchange.getResponseHeaders().set(STREAM_HEADER, stream);
    exchange.sendResponseHeaders(200, 0);
    out = exchange.getResponseBody();
  }

  private void write(String event) throws IOException {
    append(event);
    out.flush();
  }

  private void append(String event) throws IOException {
    out.write(event.getBytes(StandardCharsets.UTF_8));
  }
}
