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

/** Reads completion requests in the shape that callers' libraries send. */
final class ModelRequests {
  private static final Pattern NAME =
      Pattern.compile("(?<model>[^@+]+)(@(?<version>[^@+]+))?(\\+(?<adapter>[^@+]+))?");
  private static final int DEFAULT_MAXIMUM_TOKENS = 256;
  private static final int LARGEST_MAXIMUM_TOKENS = 1 << 20;
  private static final double CHARACTERS_PER_TOKEN = 4;

  private ModelRequests() {}

  /**
   * A request as read.
   *
   * @param request for the runner
   * @param model as the caller named it
   * @param streamed whether pieces go out as they come
   */
  record ModelRequest(CallerRequest request, String model, boolean streamed) {}

  /** What is known of a request besides its body. */
  record Origin(String requestId, Workspace workspace, Instant deadline, boolean acceptsRestart) {}

  /**
   * Reads a request.
   *
   * @throws ResultException with {@code MALFORMED_REQUEST} or {@code UNKNOWN_MODEL}
   */
  static ModelRequest read(byte[] body, boolean chat, Origin origin, Configuration configuration)
      throws IOException {
    JsonNode json = Http.object(body);
    String name = text(json, "model");
    Matcher parts = NAME.matcher(name);
    if (!parts.matches() || !isServed(configuration, parts)) {
      throw new ResultException(ResultCode.UNKNOWN_MODEL, "no model " + name + " at this site");
    }
    String prompt = chat ? messages(json) : text(json, "prompt");
    int maximumTokens = maximumTokens(json);
    double estimatedTokens = prompt.length() / CHARACTERS_PER_TOKEN + maximumTokens;
    ModelCall.Builder call =
        ModelCall.newBuilder()
            .setModel(parts.group("model"))
            .setVersion(orEmpty(parts.group("version")))
            .setAdapter(orEmpty(parts.group("adapter")))
            .setChat(chat)
            .setBody(ByteString.copyFrom(body))
            .setMaximumTokens(maximumTokens)
            .setPrefixHash(prefixHash(prompt));
    Dispatch dispatch = dispatch(origin, estimatedTokens).setModelCall(call).build();
    CallerRequest request =
        new CallerRequest(
            origin.requestId(),
            origin.workspace().name(),
            name,
            call.getPrefixHash(),
            estimatedTokens,
            origin.deadline(),
            Repeatability.MAY_BE_REPEATED,
            origin.acceptsRestart(),
            dispatch);
    return new ModelRequest(request, name, json.path("stream").asBoolean(false));
  }

  /** Begins the message to an agent with what all kinds of calls share. */
  static Dispatch.Builder dispatch(Origin origin, double estimatedTokens) {
    return Dispatch.newBuilder()
        .setRequestId(origin.requestId())
        .setWorkspace(origin.workspace().name())
        .setWeight(origin.workspace().weight())
        .setPriority(origin.workspace().priority())
        .setEstimatedTokens((long) Math.ceil(estimatedTokens))
        .setDeadlineMillis(origin.deadline().toEpochMilli());
  }

  private static boolean isServed(Configuration configuration, Matcher parts) {
    Configuration.Model model = configuration.models().get(parts.group("model"));
    return model != null
        && (parts.group("version") == null || model.versions().contains(parts.group("version")))
        && (parts.group("adapter") == null || model.adapters().contains(parts.group("adapter")));
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
    if (!value.isInt() || value.asInt() < 1 || value.asInt() > LARGEST_MAXIMUM_TOKENS) {
      throw new ResultException(
          ResultCode.MALFORMED_REQUEST,
          "\"max_tokens\" must be a whole number from 1 to " + LARGEST_MAXIMUM_TOKENS);
    }
    return value.asInt();
  }

  /** Hash of the shortest prefix that engines report, which prompts with one head share; or 0. */
  private static long prefixHash(String prompt) {
    List<Integer> lengths = PromptPrefix.lengths(prompt);
    return lengths.isEmpty() ? 0 : PromptPrefix.hash(prompt, lengths.get(0));
  }

  private static String orEmpty(String text) {
    return text == null ? "" : text;
  }
}
