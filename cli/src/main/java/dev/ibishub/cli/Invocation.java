package dev.ibishub.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import joptsimple.OptionSet;

/**
 * One run of a subcommand.
 *
 * @param options the command line
 * @param environment environment variables
 * @param out for results
 * @param err for progress and refusals
 */
record Invocation(
    OptionSet options, Map<String, String> environment, PrintStream out, PrintStream err) {

  Optional<String> option(String name) {
    return Optional.ofNullable((String) options.valueOf(name));
  }

  String required(String name) {
    return option(name)
        .orElseThrow(() -> new CommandException(ExitCode.USAGE, "--" + name + " is needed"));
  }

  long requiredNumber(String name) {
    String text = required(name);
    if (!text.matches("\\d{1,18}")) {
      throw new CommandException(ExitCode.USAGE, "--" + name + " must be a number, not " + text);
    }
    return Long.parseLong(text);
  }

  /** Returns the one argument that is no option. */
  String argument(String what) {
    List<?> arguments = options.nonOptionArguments();
    if (arguments.size() != 1) {
      throw new CommandException(ExitCode.USAGE, "one " + what + " is needed");
    }
    return String.valueOf(arguments.get(0));
  }

  /** Returns the options of the form SITE=FILE by site, in the order given. */
  Map<String, Path> overlays() {
    Map<String, Path> overlays = new LinkedHashMap<>();
    for (Object value : options.valuesOf("overlay")) {
      String[] parts = String.valueOf(value).split("=", 2);
      if (parts.length != 2 || parts[0].isEmpty() || parts[1].isEmpty()) {
        throw new CommandException(ExitCode.USAGE, "--overlay takes SITE=FILE, not " + value);
      }
      if (overlays.put(parts[0], Path.of(parts[1])) != null) {
        throw new CommandException(ExitCode.USAGE, "two overlays for site " + parts[0]);
      }
    }
    return overlays;
  }

  String text(Path file) {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      throw new CommandException(ExitCode.USAGE, "cannot read " + file + ": " + e.getMessage());
    }
  }

  /** Makes a client that shows an operator's token. */
  ApiClient operatorClient() {
    return client(secret("token-file", "IBISHUB_TOKEN"), Map.of());
  }

  /** Makes a client that shows a workspace's key. */
  ApiClient callerClient(Map<String, String> headers) {
    return client(secret("key-file", "IBISHUB_KEY"), headers);
  }

  /** Writes a reply as the options say and turns it into an exit code. */
  ExitCode show(ApiReply reply) {
    if (reply.isRefusal()) {
      return refuse(reply);
    }
    print(reply.json(), reply.text());
    return ExitCode.DONE;
  }

  ExitCode refuse(ApiReply reply) {
    if (isJson()) {
      out.println(reply.text());
    }
    JsonNode json = reply.json();
    err.println(
        "ibishub: "
            + json.path("title").asText("HTTP status " + reply.status())
            + (json.has("detail") ? ": " + json.path("detail").asText() : ""));
    return reply.isOutcomeUnknown() ? ExitCode.OUTCOME_UNKNOWN : ExitCode.REFUSED;
  }

  void print(JsonNode json, String text) {
    out.println(isJson() || json.isMissingNode() ? text : TableOutput.of(json));
  }

  /** Prints something that has a form for people besides its JSON. */
  void printText(JsonNode json, String text) {
    out.println(isJson() ? json.toString() : text);
  }

  private boolean isJson() {
    return "json".equals(options.valueOf("output"));
  }

  private ApiClient client(Optional<String> secret, Map<String, String> headers) {
    Map<String, String> all = new HashMap<>(headers);
    secret.ifPresent(value -> all.put("Authorization", "Bearer " + value));
    Duration timeout = Duration.ofSeconds(requiredNumber("timeout-seconds"));
    return new ApiClient(required("url"), all, timeout, err);
  }

  /**
   * Takes a secret from a file or a variable; the argument list is open to every user of a host.
   */
  private Optional<String> secret(String fileOption, String variable) {
    return option(fileOption)
        .map(file -> text(Path.of(file)).strip())
        .or(() -> Optional.ofNullable(environment.get(variable)));
  }
}
