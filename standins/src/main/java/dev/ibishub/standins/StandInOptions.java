package dev.ibishub.standins;

import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** Defines and reads the command-line options of each stand-in. */
final class StandInOptions {
  private StandInOptions() {}

  static OptionParser parserOf(String kind) {
    OptionParser parser = new OptionParser();
    parser.accepts("help", "Prints this help.").forHelp();
    parser.accepts("host", "IP number to listen on.").withRequiredArg().defaultsTo("127.0.0.1");
    addNumber(parser, "port", "Port to listen on, 0 for any free one.", 0);
    switch (kind) {
      case "engine" -> addEngine(parser);
      case "service" -> addNumber(parser, "delay-millis", "How long a call takes.", 0);
      case "log" -> addLog(parser);
      case "vm-list" -> addNumber(parser, "lag-millis", "How late a change shows.", 0);
      case "weight-store" ->
          addNumber(parser, "bytes-per-second", "Bytes that pass in a second.", 1_000_000_000);
      default -> throw new IllegalArgumentException("unknown stand-in: " + kind);
    }
    return parser;
  }

  static long number(OptionSet options, String name) {
    return (Long) options.valueOf(name);
  }

  static LogStandIn.Options log(OptionSet options) {
    return new LogStandIn.Options(
        (int) number(options, "retained-records"),
        number(options, "retained-millis"),
        (int) number(options, "appends-per-second"),
        (int) number(options, "burst"));
  }

  static EngineOptions engine(OptionSet options) {
    return new EngineOptions(
        (String) options.valueOf("group"),
        (int) number(options, "ranks"),
        (int) number(options, "experts"),
        List.of(((String) options.valueOf("served")).split(",")),
        (Double) options.valueOf("step-millis"),
        (int) number(options, "batch-limit"),
        (int) number(options, "tokens-per-step"),
        (int) number(options, "prefill-tokens-per-step"),
        (int) number(options, "cached-prefixes"),
        number(options, "cache-event-lag-millis"),
        (int) number(options, "cache-event-gap-every"),
        number(options, "load-lag-millis"),
        (Boolean) options.valueOf("resume"),
        (Boolean) options.valueOf("check-fencing"),
        number(options, "order-millis"),
        number(options, "drift-seconds"));
  }

  private static void addEngine(OptionParser parser) {
    parser.accepts("group", "Name of the group.").withRequiredArg().defaultsTo("");
    parser
        .accepts("served", "What is loaded: model, model@version, model+adapter.")
        .withRequiredArg()
        .defaultsTo("dictionary");
    parser
        .accepts("step-millis", "Time of a step with even load.")
        .withRequiredArg()
        .ofType(Double.class)
        .defaultsTo(5.0);
    addFlag(parser, "resume", "Whether a broken answer can be joined again.");
    addFlag(parser, "check-fencing", "Whether old fencing tokens are refused.");
    addNumber(parser, "ranks", "Ranks in lock-step, each on a port of its own.", 1);
    addNumber(parser, "experts", "Experts a layer.", 16);
    addNumber(parser, "batch-limit", "Answers in a batch.", 64);
    addNumber(parser, "tokens-per-step", "Tokens of each answer a step.", 1);
    addNumber(parser, "prefill-tokens-per-step", "Tokens of a prompt read in a step.", 2048);
    addNumber(parser, "cached-prefixes", "Prefixes that the cache holds.", 1000);
    addNumber(parser, "cache-event-lag-millis", "How late cache events show.", 200);
    addNumber(parser, "cache-event-gap-every", "One of so many events is lost; 0: none.", 10);
    addNumber(parser, "load-lag-millis", "How old the reported load is.", 200);
    addNumber(parser, "order-millis", "How long an order takes.", 0);
    addNumber(parser, "drift-seconds", "Time in which expert popularity comes round.", 600);
  }

  private static void addLog(OptionParser parser) {
    LogStandIn.Options defaults = LogStandIn.Options.defaults();
    addNumber(parser, "retained-records", "Records kept a stream.", defaults.retainedRecords());
    addNumber(parser, "retained-millis", "How long records are kept.", defaults.retainedMillis());
    addNumber(parser, "appends-per-second", "Append rate limit.", defaults.appendsPerSecond());
    addNumber(parser, "burst", "Appends that may come at once.", defaults.burst());
  }

  private static void addNumber(
      OptionParser parser, String name, String description, long defaultValue) {
    parser.accepts(name, description).withRequiredArg().ofType(Long.class).defaultsTo(defaultValue);
  }

  private static void addFlag(OptionParser parser, String name, String description) {
    parser.accepts(name, description).withRequiredArg().ofType(Boolean.class).defaultsTo(true);
  }
}
