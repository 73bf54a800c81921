package dev.ibishub.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.StreamSupport;
import java.util.zip.CRC32C;

/**
 * Computes the answer of the engine stand-in, a function of model, prompt and requested length
 * alone.
 *
 * <p>A client can therefore check that an answer is complete and belongs to its request.
 */
public final class ExpectedAnswer {
  /** Number of tokens in an answer when the request sets no maximum. */
  public static final int DEFAULT_TOKENS = 24;

  private static final String[] WORDS = {
    "sense", "noun", "root", "usage", "from", "older", "form", "speech", "verb", "common", "note",
    "plural", "compare", "region", "sound", "gloss"
  };

  private ExpectedAnswer() {}

  /**
   * Returns the tokens of the answer to a request.
   *
   * @param model the model's name; an adapter or version suffix doesn't change the answer
   * @param body the request's JSON, a completion or a chat
   * @return the tokens in order; concatenated they are the answer's text
   */
  public static List<String> tokens(String model, JsonNode body) {
    String base = model.split("[+@]", 2)[0];
    long digest = digest(base + "\n" + promptOf(body));
    return IntStream.range(0, requestedTokens(body))
        .mapToObj(number -> token(digest, number))
        .collect(Collectors.toList());
  }

  /** Returns the full text of the answer. */
  public static String text(String model, JsonNode body) {
    return String.join("", tokens(model, body));
  }

  /** Returns the prompt of a completion, or the contents of a chat's messages, one per line. */
  public static String promptOf(JsonNode body) {
    if (body.has("prompt")) {
      return body.get("prompt").asText();
    }
    return StreamSupport.stream(body.path("messages").spliterator(), false)
        .map(message -> message.path("content").asText())
        .collect(Collectors.joining("\n"));
  }

  private static int requestedTokens(JsonNode body) {
    JsonNode requested =
        body.has("max_tokens") ? body.get("max_tokens") : body.path("max_completion_tokens");
    return Math.max(1, requested.asInt(DEFAULT_TOKENS));
  }

  private static String token(long digest, int number) {
    if (number == 0) {
      return String.format("%08x", digest);
    }
    int word = (int) ((digest + 7L * number) % WORDS.length);
    return " " + WORDS[word] + "-" + number;
  }

  private static long digest(String text) {
    CRC32C checksum = new CRC32C();
    checksum.update(text.getBytes(StandardCharsets.UTF_8));
    return checksum.getValue();
  }
}
