package dev.ibishub.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.protobuf.ByteString;
import dev.ibishub.core.Configuration;
import dev.ibishub.core.Configuration.Workspace;
import dev.ibishub.core.Repeatability;
import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import dev.ibishub.engines.PromptPrefix;
import dev.ibishub.wire.generated.Dispatch;
import dev.ibishub.wire.generated.ModelCall;
import java.io.IOException;
import java.time.Instant;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;

/** Parses completion requests in the format that the client libraries of callers send. */
final class CompletionRequestParser {
  private static final Pattern NAME =
      Pattern.compile("(?<model>[^@+]+)(@(?<version>[^@+]+))?(\\+(?<adapter>[^@+]+))?");
  private static final int DEFAULT_MAXIMUM_TOKENS = 256;
  private static final int MAXIMUM_TOKENS_LIMIT = 1 << 20;
  private static final double CHARACTERS_PER_TOKEN = 4;

  private CompletionRequestParser() {}

  /**
   * Parsed completion request.
   *
   * @param request what the runner executes
   * @param model the model's name as the caller wrote it
   * @param streamed whether chunks are sent as they arrive
   */
  record ParsedRequest(CallerRequest request, String model, boolean streamed) {}

  /** Properties of a request that do not come from its body. */
  record RequestMetadata(
      String requestId, Workspace workspace, Instant deadline, boolean acceptsRestart) {}

  /**
   * Parses a request body.
   *
   * @throws ResultException with {@code MALFORMED_REQUEST} or {@code UNKNOWN_MODEL}
   */
  static ParsedRequest parse(
      byte[] body, boolean chat, RequestMetadata metadata, Configuration configuration)
      throws IOException {
    JsonNode json = HttpExchanges.readJsonObject(body);
    String name = text(json, "model");
    Matcher nameParts = NAME.matcher(name);
    if (!nameParts.matches() || !isServed(configuration, nameParts)) {
      throw new ResultException(ResultCode.UNKNOWN_MODEL, "no model " + name + " at this site");
    }
    String prompt = chat ? messages(json) : text(json, "prompt");
    int maximumTokens = maximumTokens(json);
    double estimatedTokens = prompt.length() / CHARACTERS_PER_TOKEN + maximumTokens;
    ModelCall.Builder call =
        ModelCall.newBuilder()
            .setModel(nameParts.group("model"))
            .setVersion(orEmpty(nameParts.group("version")))
            .setAdapter(orEmpty(nameParts.group("adapter")))
            .setChat(chat)
            .setBody(ByteString.copyFrom(body))
            .setMaximumTokens(maximumTokens)
            .setPrefixHash(prefixHash(prompt));
    Dispatch dispatch = dispatch(metadata, estimatedTokens).setModelCall(call).build();
    CallerRequest request =
        new CallerRequest(
            metadata.requestId(),
            metadata.workspace().name(),
            name,
            call.getPrefixHash(),
            estimatedTokens,
            metadata.deadline(),
            Repeatability.MAY_BE_REPEATED,
            metadata.acceptsRestart(),
            dispatch);
    return new ParsedRequest(request, name, json.path("stream").asBoolean(false));
  }

  /** Returns a dispatch message with the fields that all kinds of calls share. */
  static Dispatch.Builder dispatch(RequestMetadata metadata, double estimatedTokens) {
    return Dispatch.newBuilder()
        .setRequestId(metadata.requestId())
        .setWorkspace(metadata.workspace().name())
        .setWeight(metadata.workspace().weight())
        .setPriority(metadata.workspace().priority())
        .setEstimatedTokens((long) Math.ceil(estimatedTokens))
        .setDeadlineMillis(metadata.deadline().toEpochMilli());
  }

  private static boolean isServed(Configuration configuration, Matcher nameParts) {
    Configuration.Model model = configuration.models().get(nameParts.group("model"));
    return model != null
        && (nameParts.group("version") == null
            || model.versions().contains(nameParts.group("version")))
        && (nameParts.group("adapter") == null
            || model.adapters().contains(nameParts.group("adapter")));
  }

  private static String text(JsonNode json, String key) {
    JsonNode value = json.path(key);
    if (!value.isTextual() || value.asText().isEmpty()) {
      throw new ResultException(
          ResultCode.MALFORMED_REQUEST, "\"" + key + "\" must be a string that is not empty");
    }
    return value.asText();
  }

  private static String messages(JsonNode json) {
    JsonNode messages = json.path("messages");
    if (!messages.isArray() || messages.isEmpty()) {
      throw new ResultException(
          ResultCode.MALFORMED_REQUEST, "\"messages\" must be an array that is not empty");
    }
    return StreamSupport.stream(messages.spliterator(), false)
        .map(message -> text(message, "content"))
        .collect(Collectors.joining("\n"));
  }

  private static int maximumTokens(JsonNode json) {
    JsonNode value = json.path("max_tokens");
    if (value.isMissingNode() || value.isNull()) {
      return DEFAULT_MAXIMUM_TOKENS;
    }
    if (!value.isInt() || value.asInt() < 1 || value.asInt() > MAXIMUM_TOKENS_LIMIT) {
      throw new ResultException(
          ResultCode.MALFORMED_REQUEST,
          "\"max_tokens\" must be a whole number from 1 to " + MAXIMUM_TOKENS_LIMIT);
    }
    return value.asInt();
  }

  /**
   * Returns the hash of the shortest prefix that engines report, or 0 for a shorter prompt; prompts
   * that begin alike share this hash.
   */
  private static long prefixHash(String prompt) {
    List<Integer> lengths = PromptPrefix.lengths(prompt);
    return lengths.isEmpty() ? 0 : PromptPrefix.hash(prompt, lengths.get(0));
  }

  private static String orEmpty(String text) {
    return text == null ? "" : text;
  }
}
