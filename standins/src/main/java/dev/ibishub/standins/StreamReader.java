package dev.ibishub.standins;

import com.fasterxml.jackson.databind.JsonNode;
import dev.ibishub.outbound.OutboundJson;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.Flow;
import java.util.function.LongConsumer;

/**
 * Parses the server-sent events of one connection into a {@link StreamedAnswer} and reports when
 * each chunk came.
 *
 * <p>Several readers in turn fill one answer when it is resumed. Thread-safe: the HTTP client's
 * thread writes, and the session's thread reads.
 */
final class StreamReader implements Flow.Subscriber<String> {
  private final StreamedAnswer answer;
  private final LongConsumer chunkTimes;
  private Flow.Subscription subscription;
  private String event = "";
  private long id = -1;
  private String data = "";
  private boolean stopped;
  private long lastLineNanos = System.nanoTime();

  /**
   * Creates a reader.
   *
   * @param chunkTimes receives {@code System.nanoTime()} for each chunk that has text
   */
  StreamReader(StreamedAnswer answer, LongConsumer chunkTimes) {
    this.answer = answer;
    this.chunkTimes = chunkTimes;
  }

  /** Returns when the last line came, as {@code System.nanoTime()}. */
  synchronized long lastLineNanos() {
    return lastLineNanos;
  }

  /** Ignores all further lines: the caller has given this connection up. */
  synchronized void stop() {
    stopped = true;
    if (subscription != null) {
      subscription.cancel();
    }
  }

  @Override
  public synchronized void onSubscribe(Flow.Subscription subscription) {
    this.subscription = subscription;
    subscription.request(Long.MAX_VALUE);
  }

  @Override
  public synchronized void onNext(String line) {
    lastLineNanos = System.nanoTime();
    if (stopped) {
      return;
    }
    if (line.isEmpty()) {
      dispatch();
    } else if (line.startsWith("id:")) {
      id = Long.parseLong(line.substring(3).trim());
    } else if (line.startsWith("event:")) {
      event = line.substring(6).trim();
    } else if (line.startsWith("data:")) {
      data = line.substring(5).trim();
    }
  }

  @Override
  public void onError(Throwable throwable) {
    // The HTTP client fails the call's future.
  }

  @Override
  public void onComplete() {
    // The answer knows whether its end event came.
  }

  private void dispatch() {
    if (!data.isEmpty() && !data.equals("[DONE]")) {
      try {
        handleEvent(OutboundJson.readTree(data.getBytes(StandardCharsets.UTF_8)));
      } catch (IOException e) {
        answer.breach("unreadable event: " + e.getMessage());
      }
    }
    event = "";
    data = "";
    id = -1;
  }

  private void handleEvent(JsonNode json) {
    switch (event) {
      case "end" ->
          answer.end(
              json.path("chunks").asLong(),
              json.path("checksum").asLong(),
              json.path("resultCode").asInt());
      case "restart" -> answer.restart();
      case "error" -> answer.fail(Problem.of(json));
      default -> chunk(json);
    }
  }

  private void chunk(JsonNode json) {
    String text = textOf(json.path("choices").path(0)).orElse("");
    if (!text.isEmpty()) {
      chunkTimes.accept(lastLineNanos);
    }
    answer.chunk(id, text);
  }

  /** Returns the text of a choice of a completion or a chat, streamed or not; empty for none. */
  static Optional<String> textOf(JsonNode choice) {
    for (JsonNode text :
        new JsonNode[] {
          choice.path("text"),
          choice.path("delta").path("content"),
          choice.path("message").path("content")
        }) {
      if (text.isTextual()) {
        return Optional.of(text.asText());
      }
    }
    return Optional.empty();
  }
}
