package dev.ibishub.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.ibishub.outbound.OutboundJson;
import java.io.IOException;
import java.nio.file.Files;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;

/**
 * Generates the arrivals and requests of a run, determined by its seed alone. Not thread-safe.
 *
 * <p>A generated prompt begins with a text that all prompts of its workspace share, and ends with
 * the run's seed and the request's number, so that no two requests have the same answer.
 */
final class LoadPlan {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final List<String> WORDS =
      List.of(
          "bridge",
          "vineyard",
          "harvest",
          "river",
          "proverb",
          "lantern",
          "market",
          "winter",
          "questionnaire",
          "household",
          "brand",
          "tea",
          "price",
          "quality",
          "school",
          "song");

  private final LoadOptions options;
  private final SplittableRandom random;
  private final List<RequestFileLine> fileLines;
  private final String keyPrefix;
  private double nextArrivalNanos;
  private int nextNumber;

  /**
   * A line of a request file.
   *
   * @param workspace name of the workspace that sends it
   * @param endpoint the path
   * @param body the JSON to send
   * @param once whether it must not run twice
   */
  record RequestFileLine(String workspace, String endpoint, JsonNode body, boolean once) {}

  private LoadPlan(LoadOptions options, List<RequestFileLine> fileLines) {
    this.options = options;
    this.random = new SplittableRandom(options.seed());
    this.fileLines = fileLines;
    // An entry accepts only idempotency keys that contain the time of their creation.
    this.keyPrefix = Instant.now().truncatedTo(ChronoUnit.SECONDS) + "/load-";
  }

  /**
   * Creates a plan.
   *
   * @throws IOException when the request file cannot be read
   */
  static LoadPlan create(LoadOptions options) throws IOException {
    List<RequestFileLine> fileLines = new ArrayList<>();
    if (options.requestFile().isPresent()) {
      for (String line : Files.readAllLines(options.requestFile().get())) {
        fileLines.add(OutboundJson.read(line, RequestFileLine.class));
      }
    }
    return new LoadPlan(options, List.copyOf(fileLines));
  }

  /** Generates the next request; empty when the run's duration is over. */
  Optional<PlannedRequest> next() {
    nextArrivalNanos += interArrivalNanos();
    if (nextArrivalNanos > options.durationSeconds() * NANOS_PER_SECOND) {
      return Optional.empty();
    }
    int number = nextNumber++;
    return Optional.of(fileLines.isEmpty() ? generate(number) : requestFromFile(number));
  }

  private double interArrivalNanos() {
    double mean = NANOS_PER_SECOND / options.rate();
    return options.poisson() ? -Math.log(1 - random.nextDouble()) * mean : mean;
  }

  private PlannedRequest requestFromFile(int number) {
    RequestFileLine request = fileLines.get(number % fileLines.size());
    LoadOptions.Workspace workspace =
        options.workspaces().stream()
            .filter(known -> known.name().equals(request.workspace()))
            .findFirst()
            .orElse(options.workspaces().get(0));
    return planned(number, workspace, "POST", request.endpoint(), request.body(), request.once());
  }

  private PlannedRequest generate(int number) {
    LoadOptions.Workspace workspace = pick(options.workspaces(), LoadOptions.Workspace::share);
    if (!options.service().isEmpty() && random.nextDouble() < options.serviceShare()) {
      return serviceCall(number, workspace);
    }
    boolean chat = random.nextDouble() < options.chatShare();
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put("model", pick(options.models(), LoadOptions.Share::share).name());
    body.put("max_tokens", pick(options.answerTokens()));
    body.put("stream", random.nextDouble() >= options.unstreamedShare());
    if (chat) {
      ObjectNode message = body.putArray("messages").addObject();
      message.put("role", "user");
      message.put("content", prompt(workspace, number));
    } else {
      body.put("prompt", prompt(workspace, number));
    }
    String path = chat ? "/v1/chat/completions" : "/v1/completions";
    return planned(number, workspace, "POST", path, body, false);
  }

  private PlannedRequest serviceCall(int number, LoadOptions.Workspace workspace) {
    String base = "/services/" + options.service();
    if (random.nextDouble() >= options.atMostOnceShare()) {
      return planned(number, workspace, "GET", base + "/lookups/" + number, null, false);
    }
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put("panelist", options.seed() + "-" + number);
    body.put("points", 1 + random.nextInt(50));
    return planned(number, workspace, "POST", base + "/incentives", body, true);
  }

  private PlannedRequest planned(
      int number,
      LoadOptions.Workspace workspace,
      String method,
      String path,
      JsonNode body,
      boolean once) {
    Optional<String> key =
        once ? Optional.of(keyPrefix + options.seed() + "-" + number) : Optional.empty();
    return new PlannedRequest(
        number,
        (long) nextArrivalNanos,
        workspace,
        method,
        path,
        Optional.ofNullable(body),
        abandonAfterChunks(),
        key);
  }

  private OptionalInt abandonAfterChunks() {
    return options.abandonShare() > 0 && random.nextDouble() < options.abandonShare()
        ? OptionalInt.of(1 + random.nextInt(options.answerTokens().highest()))
        : OptionalInt.empty();
  }

  private String prompt(LoadOptions.Workspace workspace, int number) {
    StringBuilder prompt = new StringBuilder();
    prompt.append("You write for the readers of ").append(workspace.name());
    prompt.append(". Give a short definition and one example sentence, in plain words. ");
    int words = pick(options.promptWords());
    for (int word = 0; word < words; word++) {
      prompt.append(WORDS.get(random.nextInt(WORDS.size()))).append(' ');
    }
    return prompt.append(options.seed()).append('-').append(number).toString();
  }

  private int pick(LoadOptions.Range range) {
    return random.nextInt(range.lowest(), range.highest() + 1);
  }

  private <T> T pick(List<T> choices, ToDoubleFunction<T> share) {
    double point = random.nextDouble() * choices.stream().mapToDouble(share).sum();
    for (T choice : choices) {
      point -= share.applyAsDouble(choice);
      if (point < 0) {
        return choice;
      }
    }
    return choices.get(choices.size() - 1);
  }
}
