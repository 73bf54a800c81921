package dev.ibishub.standins;

import java.net.URI;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/**
 * What a load run does. Shares are weights: only their ratio counts.
 *
 * @param entries entries to ask for addresses first
 * @param rate requests a second
 * @param durationSeconds how long requests are sent, seconds
 * @param seed fixes arrivals and requests
 * @param poisson whether arrivals are random, else evenly spaced
 * @param workspaces who sends
 * @param models which models are asked
 * @param promptWords words of a prompt, lowest and highest
 * @param answerTokens tokens wanted, lowest and highest
 * @param wholeShare share of model calls answered whole, 0 to 1
 * @param chatShare share of model calls that are chats, 0 to 1
 * @param service name of the plain service, or empty for none
 * @param serviceShare share of requests that go to the service, 0 to 1
 * @param onceShare share of service calls that may not be repeated, 0 to 1
 * @param requestFile requests to send instead of made-up ones
 * @param retries how often a request is sent again after a refusal or a break
 * @param patienceSeconds after which a request without an answer counts as lost, seconds
 * @param idleSeconds after which a silent answer counts as broken, seconds
 * @param acceptsRestart whether callers let an answer begin anew on the same connection
 * @param mostAtOnce the most requests in flight
 * @param serviceAudits control addresses of the service stand-ins
 * @param engineAudits control addresses of the engine stand-ins
 * @param directEngines engines to send model calls to, past the entries; empty for none
 * @param abandonShare share of streams that the caller leaves on the way, 0 to 1
 * @param reportFile where the JSON report goes
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
  /** A customer with its key and its share of the requests. */
  record Workspace(String name, String key, double share) {
    static Workspace parse(String text) {
      String[] parts = text.split(":", 3);
      return new Workspace(parts[0], parts[1], parts.length < 3 ? 1 : Double.parseDouble(parts[2]));
    }
  }

  /** A name with its share of the requests. */
  record Share(String name, double share) {
    static Share parse(String text) {
      String[] parts = text.split(":", 2);
      return new Share(parts[0], parts.length < 2 ? 1 : Double.parseDouble(parts[1]));
    }
  }

  /** Whole numbers from the lowest to the highest, both included. */
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

  /** The same load for another time and seed, at engines themselves or, with none, at entries. */
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
