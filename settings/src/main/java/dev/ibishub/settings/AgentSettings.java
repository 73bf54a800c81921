package dev.ibishub.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * Settings of an {@code ibishub-agent}. docs/CONFIGURATION.md gives each key with unit, default and
 * limits; the components here are named as the keys.
 *
 * @param targetId unique name of the target, as in the platform's list of VMs
 * @param zone the failure domain
 * @param site the site whose overlay holds here
 * @param host the IP number to listen on
 * @param port the port for entries; 0 takes any free one
 * @param metricsPort the port for metrics and health; 0 takes any free one
 * @param kind what stands behind the agent
 * @param engineUrl where the model engine answers, for {@link Kind#MODEL}
 * @param serviceUrl where the plain service answers, for {@link Kind#SERVICE}
 * @param service the name of the plain service, for {@link Kind#SERVICE}
 * @param group the group that the engine is a rank of
 * @param rank the engine's rank in the group
 * @param logUrl where the platform's log answers
 * @param virtualMachineListUrl where the platform's list of VMs can be read
 * @param weightStoreUrl where the weight store answers
 * @param logRetentionSeconds how long the platform's log keeps records, seconds
 * @param engineChecksFencing whether the engine refuses orders with an old fencing token
 * @param maximumQueued the most attempts that wait at the agent
 * @param maximumConcurrency the most attempts running on the target
 * @param drainSeconds the longest that a planned stop waits, seconds
 * @param streamBufferBytes bytes of each answer kept for a caller that resumes
 * @param keptAnswerBytes bytes of whole answers kept for calls that may not be repeated
 * @param logFormat how a line of the program's own log is written
 * @param tls key files for TLS between processes
 */
public record AgentSettings(
    String targetId,
    String zone,
    String site,
    String host,
    int port,
    int metricsPort,
    Kind kind,
    Optional<String> engineUrl,
    Optional<String> serviceUrl,
    Optional<String> service,
    Optional<String> group,
    Optional<Integer> rank,
    String logUrl,
    String virtualMachineListUrl,
    Optional<String> weightStoreUrl,
    int logRetentionSeconds,
    boolean engineChecksFencing,
    int maximumQueued,
    int maximumConcurrency,
    int drainSeconds,
    int streamBufferBytes,
    int keptAnswerBytes,
    LogFormat logFormat,
    Optional<TlsSettings> tls) {

  /** What stands behind an agent. */
  public enum Kind {
    MODEL,
    SERVICE
  }

  private static final int HIGHEST_RANK = 4_095;

  static final ObjectSchema SCHEMA =
      ObjectSchema.of(
          Key.text("targetId", Forms.NAME, "Unique name of the target, as in the list of VMs."),
          CommonKeys.ZONE,
          CommonKeys.SITE,
          CommonKeys.HOST,
          CommonKeys.port("port", "Port for entries; 0 takes any free one."),
          CommonKeys.port("metricsPort", "Port for metrics and health; 0 takes any free one.")
              .defaultingTo(0L),
          Key.text(
              "kind",
              Forms.oneOf("model", "service"),
              "What stands behind the agent: a model engine or a plain service."),
          Key.text("engineUrl", Forms.URL, "Where the model engine answers; for kind model.")
              .optional(),
          Key.text("serviceUrl", Forms.URL, "Where the plain service answers; for kind service.")
              .optional(),
          Key.text("service", Forms.NAME, "Name of the plain service; for kind service.")
              .optional(),
          Key.text("group", Forms.NAME, "Group that the engine is a rank of; with rank.")
              .optional(),
          Key.integer("rank", "", 0, HIGHEST_RANK, "The engine's rank in its group, from 0.")
              .optional(),
          CommonKeys.LOG_URL,
          CommonKeys.VIRTUAL_MACHINE_LIST_URL,
          Key.text("weightStoreUrl", Forms.URL, "Where the weight store answers.").optional(),
          CommonKeys.LOG_RETENTION_SECONDS,
          Key.flag(
                  "engineChecksFencing",
                  "Whether the engine refuses orders that carry an old fencing token.")
              .defaultingTo(false),
          Key.integer("maximumQueued", "", 1, 1_000_000, "Most attempts that wait at the agent.")
              .defaultingTo(256L),
          Key.integer("maximumConcurrency", "", 1, 100_000, "Most attempts running on the target.")
              .defaultingTo(64L),
          CommonKeys.DRAIN_SECONDS,
          Key.integer(
                  "streamBufferBytes",
                  "bytes",
                  1_024,
                  1 << 26,
                  "Bytes of each answer kept for a caller that resumes.")
              .defaultingTo(262_144L),
          Key.integer(
                  "keptAnswerBytes",
                  "bytes",
                  1_024,
                  1 << 30,
                  "Bytes of whole answers kept for calls that may not be repeated.")
              .defaultingTo(8_388_608L),
          CommonKeys.LOG_FORMAT,
          CommonKeys.TLS);

  /**
   * Reads a settings file.
   *
   * @param path the file
   * @return the settings
   * @throws SettingsException with all that is wrong with the file
   */
  public static AgentSettings read(Path path) {
    return parse(path.toString(), SettingsFiles.text(path));
  }

  /**
   * Reads settings from a text.
   *
   * @param file the name of the text for faults
   * @param text JSON with comments
   * @return the settings
   * @throws SettingsException with all that is wrong with the text
   */
  public static AgentSettings parse(String file, String text) {
    return SettingsFiles.parse(file, text, SCHEMA, AgentSettings::check, AgentSettings::of);
  }

  private static void check(Section root, List<Fault> faults) {
    boolean model = root.text("kind").equals("model");
    if (model) {
      need(root, "engineUrl", faults);
      refuse(root, List.of("serviceUrl", "service"), faults);
    } else {
      need(root, "serviceUrl", faults);
      need(root, "service", faults);
      refuse(root, List.of("engineUrl", "group", "rank", "weightStoreUrl"), faults);
    }
    if (root.gives("group") != root.gives("rank")) {
      String given = root.gives("group") ? "group" : "rank";
      faults.add(root.fault(given, "one of group and rank alone", "both or neither"));
    }
  }

  private static void need(Section root, String key, List<Fault> faults) {
    if (!root.gives(key)) {
      String problem = "the key \"" + key + "\" is missing";
      faults.add(root.fault(key, problem, "a value, as kind is " + root.text("kind")));
    }
  }

  private static void refuse(Section root, List<String> keys, List<Fault> faults) {
    keys.stream()
        .filter(root::gives)
        .map(key -> root.fault(key, "has no meaning for kind " + root.text("kind"), "it left out"))
        .forEach(faults::add);
  }

  private static AgentSettings of(Section root) {
    return new AgentSettings(
        root.text("targetId"),
        root.text("zone"),
        root.text("site"),
        root.text("host"),
        root.integer("port"),
        root.integer("metricsPort"),
        Kind.valueOf(root.text("kind").toUpperCase(Locale.ROOT)),
        root.optionalText("engineUrl"),
        root.optionalText("serviceUrl"),
        root.optionalText("service"),
        root.optionalText("group"),
        root.optionalInteger("rank"),
        root.text("logUrl"),
        root.text("virtualMachineListUrl"),
        root.optionalText("weightStoreUrl"),
        root.integer("logRetentionSeconds"),
        root.flag("engineChecksFencing"),
        root.integer("maximumQueued"),
        root.integer("maximumConcurrency"),
        root.integer("drainSeconds"),
        root.integer("streamBufferBytes"),
        root.integer("keptAnswerBytes"),
        LogFormat.of(root.text("logFormat")),
        root.section("tls").map(TlsSettings::of));
  }
}
