package dev.ibishub.standins;

import java.net.URI;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/**
 * Options of a load run. Shares of workspaces and models are weights: only their ratio counts.
 *
 * @param entries URLs of the entries that are asked for entry addresses first
 * @param rate requests per second
 * @param durationSeconds how long new requests are sent, in seconds
 * @param seed random seed of arrivals and requests
 * @param poisson whether arrivals form a Poisson process; otherwise they are evenly spaced
 * @param workspaces workspaces on whose behalf requests are sent
 * @param models models to which requests are sent
 * @param promptWords range of the number of words in a generated prompt
 * @param answerTokens range of the number of tokens requested
 * @param unstreamedShare share of model calls that are answered without streaming, 0 to 1
 * @param chatShare share of model calls that are chats, 0 to 1
 * @param service name of the plain service, or empty for none
 * @param serviceShare share of requests that go to the service, 0 to 1
 * @param atMostOnceShare share of service calls that must not run twice and carry an idempotency
 *     key, 0 to 1
 * @param requestFile file of requests to send instead of generated ones
 * @param retries maximum number of further attempts after a refusal or a broken connection
 * @param timeoutSeconds time after which a request without an answer counts as lost, in seconds
 * @param idleSeconds time without data after which a streamed answer counts as broken, in seconds
 * @param acceptsRestart whether callers accept that an answer restarts from its beginning on the
 *     same connection
 * @param maximumInFlight maximum number of requests in flight
 * @param serviceAuditUrls control addresses of the service stand-ins to audit
 * @param engineAuditUrls control addresses of the engine stand-ins to audit
 * @param directEngines engines to which model calls are sent without an entry; empty for none
 * @param abandonShare share of streams that the caller abandons before the end, 0 to 1
 * @param reportFile file for the JSON report
 */
record LoadOptions(
    List<URI> entries,
    double rate,
    long durationSeconds,
    long seed,
    boolean poisson,
    List<Workspace> workspaces,
    List<Share> models,
    Range promptWords,
    Range answerTokens,
    double unstreamedShare,
    double chatShare,
    String service,
    double serviceShare,
    double atMostOnceShare,
    Optional<Path> requestFile,
    int retries,
    long timeoutSeconds,
    long idleSeconds,
    boolean acceptsRestart,
    int maximumInFlight,
    List<URI> serviceAuditUrls,
    List<URI> engineAuditUrls,
    List<URI> directEngines,
    double abandonShare,
    Optional<Path> reportFile) {
  /** A workspace with its API key and its share of the requests. */
  record Workspace(String name, String key, double share) {
    static Workspace parse(String text) {
      String[] parts = text.split(":", 3);
      return new Workspace(parts[0], parts[1], parts.length < 3 ? 1 : Double.parseDouble(parts[2]));
    }
  }

  /** A model's name with its share of the requests. */
  record Share(String name, double share) {
    static Share parse(String text) {
      String[] parts = text.split(":", 2);
      return new Share(parts[0], parts.length < 2 ? 1 : Double.parseDouble(parts[1]));
    }
  }

  /** A range of integers, both bounds included. */
  record Range(int lowest, int highest) {
    Range {
      if (lowest < 1 || highest < lowest) {
        throw new IllegalArgumentException("no range: " + lowest + "-" + highest);
      }
    }

    static Range parse(String text) {
      String[] parts = text.split("-", 2);
      int lowest = Integer.parseInt(parts[0]);
      return new Range(lowest, parts.length < 2 ? lowest : Integer.parseInt(parts[1]));
    }
  }

  LoadOptions {
    entries = List.copyOf(entries);
    workspaces = List.copyOf(workspaces);
    models = List.copyOf(models);
    serviceAuditUrls = List.copyOf(serviceAuditUrls);
    engineAuditUrls = List.copyOf(engineAuditUrls);
    directEngines = List.copyOf(directEngines);
    if (rate <= 0 || durationSeconds < 1 || entries.isEmpty() || workspaces.isEmpty()) {
      throw new IllegalArgumentException("rate, duration, entries and workspaces are needed");
    }
  }

  /**
   * Returns these options with another duration in seconds, seed and list of direct engines; with
   * an empty list the load goes to the entries.
   */
  LoadOptions withRun(long seconds, long runSeed, List<URI> engines) {
    return new LoadOptions(
        entries,
        rate,
        seconds,
        runSeed,
        poisson,
        workspaces,
        models,
        promptWords,
        answerTokens,
        unstreamedShare,
        chatShare,
        service,
        serviceShare,
        atMostOnceShare,
        requestFile,
        retries,
        timeoutSeconds,
        idleSeconds,
        acceptsRestart,
        maximumInFlight,
        serviceAuditUrls,
        engineAuditUrls,
        engines,
        abandonShare,
        reportFile);
  }

  static OptionParser parser() {
    OptionParser parser = new OptionParser();
    parser.accepts("help", "Prints this help.").forHelp();
    text(parser, "entries", "URLs of entries to ask for addresses.", "http://127.0.0.1:8080");
    text(parser, "rate", "Requests a second.", "20");
    text(parser, "duration-seconds", "How long requests are sent.", "10");
    text(parser, "seed", "Fixes arrivals and requests.", "1");
    text(parser, "arrivals", "poisson or fixed.", "poisson");
    text(parser, "workspaces", "name:key:share, comma between.", "demo:demo-key:1");
    text(parser, "models", "name:share, comma between.", "dictionary:1");
    text(parser, "prompt-words", "Words of a prompt, as 5-80.", "5-80");
    text(parser, "answer-tokens", "Tokens wanted, as 8-64.", "8-64");
    text(parser, "whole-share", "Share of model calls answered whole.", "0.2");
    text(parser, "chat-share", "Share of model calls that are chats.", "0.3");
    text(parser, "service", "Name of a plain service to call as well.", "");
    text(parser, "service-share", "Share of requests to the service.", "0.2");
    text(parser, "once-share", "Share of service calls not to be repeated.", "0.5");
    text(parser, "requests", "File of requests, one JSON a line.", "");
    text(parser, "retries", "How often a request is sent again.", "20");
    text(parser, "patience-seconds", "After it a request counts as lost.", "60");
    text(parser, "idle-seconds", "After it a silent answer is broken.", "5");
    text(parser, "accept-restart", "Whether an answer may begin anew.", "true");
    text(parser, "most-at-once", "Requests in flight at most.", "2000");
    text(parser, "audit-services", "URLs of service stand-ins to audit at the end.", "");
    text(parser, "audit-engines", "URLs of engine stand-ins to audit at the end.", "");
    text(parser, "direct-engines", "Engines to send to, past the entries.", "");
    text(parser, "abandon-share", "Share of streams left on the way.", "0");
    text(parser, "report", "File for the JSON report.", "");
    return parser;
  }

  static LoadOptions of(OptionSet options) {
    return new LoadOptions(
        uris(options, "entries"),
        Double.parseDouble(text(options, "rate")),
        Long.parseLong(text(options, "duration-seconds")),
        Long.parseLong(text(options, "seed")),
        text(options, "arrivals").equals("poisson"),
        list(options, "workspaces").stream().map(Workspace::parse).toList(),
        list(options, "models").stream().map(Share::parse).toList(),
        Range.parse(text(options, "prompt-words")),
        Range.parse(text(options, "answer-tokens")),
        Double.parseDouble(text(options, "whole-share")),
        Double.parseDouble(text(options, "chat-share")),
        text(options, "service"),
        Double.parseDouble(text(options, "service-share")),
        Double.parseDouble(text(options, "once-share")),
        file(options, "requests"),
        Integer.parseInt(text(options, "retries")),
        Long.parseLong(text(options, "patience-seconds")),
        Long.parseLong(text(options, "idle-seconds")),
        Boolean.parseBoolean(text(options, "accept-restart")),
        Integer.parseInt(text(options, "most-at-once")),
        uris(options, "audit-services"),
        uris(options, "audit-engines"),
        uris(options, "direct-engines"),
        Double.parseDouble(text(options, "abandon-share")),
        file(options, "report"));
  }

  private static void text(OptionParser parser, String name, String description, String value) {
    parser.accepts(name, description).withRequiredArg().defaultsTo(value);
  }

  private static String text(OptionSet options, String name) {
    return (String) options.valueOf(name);
  }

  private static List<String> list(OptionSet options, String name) {
    return Arrays.stream(text(options, name).split(",")).filter(part -> !part.isEmpty()).toList();
  }

  private static List<URI> uris(OptionSet options, String name) {
    return list(options, name).stream().map(URI::create).toList();
  }

  private static Optional<Path> file(OptionSet options, String name) {
    return Optional.of(text(options, name)).filter(path -> !path.isEmpty()).map(Path::of);
  }
}
