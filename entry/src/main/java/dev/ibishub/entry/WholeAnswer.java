package dev.ibishub.entry;

import com.sun.net.httpserver.HttpExchange;
import dev.ibishub.core.AnswerEnd;
import dev.ibishub.core.ResultException;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.InstantSource;

/** A model's answer as one JSON document. */
final class WholeAnswer implements Answer {
  private final HttpExchange exchange;
  private final String requestId;
  private final ModelAnswer form;
  private final InstantSource clock;
  private final ByteArrayOutputStream text = new ByteArrayOutputStream();

  WholeAnswer(HttpExchange exchange, String requestId, ModelAnswer form, InstantSource clock) {
    this.exchange = exchange;
    this.requestId = requestId;
    this.form = form;
    this.clock = clock;
  }

  @Override
  public void piece(String stream, long number, byte[] data) {
    text.writeBytes(data);
  }

  @Override
  public void restart() {
    text.reset();
  }

  @Override
  public void succeed(AnswerEnd end) throws IOException {
    Http.sendJson(
        exchange, 200, form.whole(text.toString(StandardCharsets.UTF_8), end.usedTokens()));
  }

  @Override
  public void fail(ResultException failure) throws IOException {
    Problem.send(exchange, failure, requestId, clock.instant());
  }
}
