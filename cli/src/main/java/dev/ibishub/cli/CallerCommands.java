package dev.ibishub.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import joptsimple.OptionParser;

/** The subcommands that send requests to an entry as a caller of a workspace. */
final class CallerCommands {
  private static final String DEFAULT_MAXIMUM_TOKENS = "64";

  private CallerCommands() {}

  static List<Command> all() {
    return List.of(
        new Command(
            "addresses",
            "ask which entries to use",
            CallerCommands::addKeyOption,
            invocation -> invocation.show(invocation.callerClient(Map.of()).get("/v1/addresses"))),
        new Command(
            "send",
            "send a request to a model, or with --service to a plain service",
            CallerCommands::addSendOptions,
            CallerCommands::send));
  }

  private static void addKeyOption(OptionParser parser) {
    parser.accepts("key-file", "file with the workspace's key; or IBISHUB_KEY").withRequiredArg();
  }

  private static void addSendOptions(OptionParser parser) {
    addKeyOption(parser);
    parser.accepts("model", "the model").withRequiredArg();
    parser.accepts("prompt", "the prompt").withRequiredArg();
    parser.accepts("prompt-file", "file with the prompt").withRequiredArg();
    parser
        .accepts("maximum-tokens", "the most tokens wanted")
        .withRequiredArg()
        .defaultsTo(DEFAULT_MAXIMUM_TOKENS);
    parser.accepts("service", "a plain service, in place of a model").withRequiredArg();
    parser.accepts("method", "of the service's call").withRequiredArg().defaultsTo("GET");
    parser.accepts("path", "of the service's call, from '/' on").withRequiredArg().defaultsTo("/");
    parser.accepts("data", "body of the service's call").withRequiredArg().defaultsTo("");
    parser.accepts("idempotency-key", "names the request if sent again").withRequiredArg();
  }

  private static ExitCode send(Invocation invocation) {
    Map<String, String> headers = new HashMap<>();
    invocation.option("idempotency-key").ifPresent(key -> headers.put("Idempotency-Key", key));
    ApiClient client = invocation.callerClient(headers);
    Optional<String> service = invocation.option("service");
    return service.isPresent()
        ? callService(invocation, client, service.get())
        : requestCompletion(invocation, client);
  }

  private static ExitCode callService(Invocation invocation, ApiClient client, String service) {
    String method = invocation.required("method");
    String path = "/services/" + service + invocation.required("path");
    return invocation.show(
        method.equals("GET")
            ? client.get(path)
            : client.send(method, path, invocation.required("data")));
  }

  private static ExitCode requestCompletion(Invocation invocation, ApiClient client) {
    ObjectNode body =
        JsonNodeFactory.instance
            .objectNode()
            .put("model", invocation.required("model"))
            .put("prompt", prompt(invocation))
            .put("max_tokens", invocation.requiredNumber("maximum-tokens"));
    ApiReply reply = client.post("/v1/completions", body.toString());
    if (reply.isRefusal()) {
      return invocation.reportRefusal(reply);
    }
    JsonNode text = reply.json().path("choices").path(0).path("text");
    invocation.print(text, reply.text());
    return ExitCode.DONE;
  }

  private static String prompt(Invocation invocation) {
    return invocation
        .option("prompt-file")
        .map(file -> invocation.readFile(Path.of(file)))
        .orElseGet(() -> invocation.required("prompt"));
  }
}
