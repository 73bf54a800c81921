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
 * One run of a subcommand: its parsed options, environment and output streams.
 *
 * @param options parsed command line
 * @param environment environment variables
 * @param out stream for results
 * @param err stream for progress and errors
 */
record Invocation(
    OptionSet options, Map<String, String> environment, PrintStream out, PrintStream err) {

  /** Returns the value of an option; empty when it is not given and has no default. */
  Optional<String> option(String name) {
    return Optional.ofNullable((String) options.valueOf(name));
  }

  /**
   * Returns the value of an option.
   *
   * @throws CommandException if the option is not given and has no default
   */
  String required(String name) {
    return option(name)
        .orElseThrow(() -> new CommandException(ExitCode.USAGE, "--" + name + " is needed"));
  }

  /**
   * Returns the value of an option as a non-negative number.
   *
   * @throws CommandException if the option is missing or not a number of at most 18 digits
   */
  long requiredNumber(String name) {
    String text = required(name);
    if (!text.matches("\\d{1,18}")) {
      throw new CommandException(ExitCode.USAGE, "--" + name + " must be a number, not " + text);
    }
    return Long.parseLong(text);
  }

  /**
   * Returns the only positional argument.
   *
   * @param description what the argument is, for the error message
   * @throws CommandException if there is not exactly one
   */
  String argument(String description) {
    List<?> arguments = options.nonOptionArguments();
    if (arguments.size() != 1) {
      throw new CommandException(ExitCode.USAGE, "one " + description + " is needed");
    }
    return String.valueOf(arguments.get(0));
  }

  /** Returns the files of the {@code --overlay SITE=FILE} options by site, in the order given. */
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

  /**
   * Reads a file as UTF-8.
   *
   * @throws CommandException if the file cannot be read
   */
  String readFile(Path file) {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      throw new CommandException(ExitCode.USAGE, "cannot read " + file + ": " + e.getMessage());
    }
  }

  /** Creates a client that authenticates with an operator's token, if one is given. */
  ApiClient operatorClient() {
    return client(secret("token-file", "IBISHUB_TOKEN"), Map.of());
  }

  /** Creates a client that authenticates with a workspace's key, if one is given. */
  ApiClient callerClient(Map<String, String> headers) {
    return client(secret("key-file", "IBISHUB_KEY"), headers);
  }

  /** Prints a reply in the chosen output format and returns the exit code that it stands for. */
  ExitCode show(ApiReply reply) {
    if (reply.isRefusal()) {
      return reportRefusal(reply);
    }
    print(reply.json(), reply.text());
    return ExitCode.DONE;
  }

  /** Prints an error reply and returns its exit code. */
  ExitCode reportRefusal(ApiReply reply) {
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

  /** Prints the text when the output format is JSON or {@code json} is missing, else a table. */
  void print(JsonNode json, String text) {
    out.println(isJson() || json.isMissingNode() ? text : TableOutput.of(json));
  }

  /** Prints the JSON when that is the output format, else the text. */
  void printText(JsonNode json, String text) {
    out.println(isJson() ? json.toString() : text);
  }

  private boolean isJson() {
    return "json".equals(options.valueOf("output"));
  }

  private ApiClient client(Optional<String> secret, Map<String, String> headers) {
    Map<String, String> allHeaders = new HashMap<>(headers);
    secret.ifPresent(value -> allHeaders.put("Authorization", "Bearer " + value));
    Duration timeout = Duration.ofSeconds(requiredNumber("timeout-seconds"));
    return new ApiClient(required("url"), allHeaders, timeout, err);
  }

  /**
   * Reads a secret from a file or an environment variable. It is never an argument itself, as every
   * user of a host can read the argument list.
   */
  private Optional<String> secret(String fileOption, String variable) {
    return option(fileOption)
        .map(file -> readFile(Path.of(file)).strip())
        .or(() -> Optional.ofNullable(environment.get(variable)));
  }
}
