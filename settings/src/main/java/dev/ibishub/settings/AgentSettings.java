package dev.ibishub.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * Settings of an {@code ibishub-agent}, which runs behind ibishub's own interface; on the users'
 * platform, see {@link NodeSettings}. docs/CONFIGURATION.md documents each key with unit, default
 * and limits; the components are named like the keys.
 *
 * @param targetId the unique name of the target, as in the platform's list of VMs
 * @param zone the failure domain
 * @param site the site whose overlay applies
 * @param host the IP address to listen on
 * @param port the port for entries; 0 picks any free port
 * @param metricsPort the port for metrics and health; 0 picks any free port
 * @param kind the kind of target that the agent fronts
 * @param engineUrl the URL of the model engine, for {@link Kind#MODEL}
 * @param serviceUrl the URL of the plain service, for {@link Kind#SERVICE}
 * @param service the name of the plain service, for {@link Kind#SERVICE}
 * @param group the group that the engine is a rank of, if any
 * @param rank the engine's rank in the group, from 0
 * @param logUrl the URL of the platform's log
 * @param virtualMachineListUrl the URL of the platform's list of VMs
 * @param weightStoreUrl the URL of the weight store
 * @param logRetentionSeconds how long the platform's log keeps records, seconds
 * @param engineChecksFencing whether the engine rejects orders with an outdated fencing token
 * @param maximumQueued the maximum number of attempts queued at the agent
 * @param maximumConcurrency the maximum number of attempts running on the target
 * @param drainSeconds the longest time that a planned stop waits for requests in flight, seconds
 * @param streamBufferBytes how much of each answer is kept for callers that resume, bytes
 * @param keptAnswerBytes how much of complete answers is kept in total for calls that must not be
 *     repeated, bytes
 * @param logFormat the format of the lines of the process's own log
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

  /** Kind of target that an agent fronts. */
  public enum Kind {
    MODEL,
    SERVICE
  }

  private static final int MAXIMUM_RANK = 4_095;

  static final ObjectSchema SCHEMA =
      ObjectSchema.of(
          Key.text(
              "targetId", TextFormats.NAME, "Unique name of the target, as in the list of VMs."),
          CommonKeys.ZONE,
          CommonKeys.SITE,
          CommonKeys.HOST,
          CommonKeys.port("port", "Port for entries; 0 takes any free one."),
          CommonKeys.port("metricsPort", "Port for metrics and health; 0 takes any free one.")
              .defaultingTo(0L),
          Key.text(
              "kind",
              TextFormats.oneOf("model", "service"),
              "What stands behind the agent: a model engine or a plain service."),
          Key.text("engineUrl", TextFormats.URL, "Where the model engine answers; for kind model.")
              .optional(),
          Key.text(
                  "serviceUrl",
                  TextFormats.URL,
                  "Where the plain service answers; for kind service.")
              .optional(),
          Key.text("service", TextFormats.NAME, "Name of the plain service; for kind service.")
              .optional(),
          Key.text("group", TextFormats.NAME, "Group that the engine is a rank of; with rank.")
              .optional(),
          Key.integer("rank", "", 0, MAXIMUM_RANK, "The engine's rank in its group, from 0.")
              .optional(),
          CommonKeys.LOG_URL,
          CommonKeys.VIRTUAL_MACHINE_LIST_URL,
          Key.text("weightStoreUrl", TextFormats.URL, "Where the weight store answers.").optional(),
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
   * @throws SettingsException with all faults of the file
   */
  public static AgentSettings read(Path path) {
    return parse(path.toString(), SettingsFiles.read(path));
  }

  /**
   * Reads settings from a text.
   *
   * @param file the name of the text in faults
   * @param text JSON with comments
   * @return the settings
   * @throws SettingsException with all faults of the text
   */
  public static AgentSettings parse(String file, String text) {
    return SettingsFiles.parse(file, text, SCHEMA, AgentSettings::check, AgentSettings::of);
  }

  private static void check(Section root, List<Fault> faults) {
    boolean isModel = root.text("kind").equals("model");
    if (isModel) {
      requireKey(root, "engineUrl", faults);
      rejectKeys(root, List.of("serviceUrl", "service"), faults);
    } else {
      requireKey(root, "serviceUrl", faults);
      requireKey(root, "service", faults);
      rejectKeys(root, List.of("engineUrl", "group", "rank", "weightStoreUrl"), faults);
    }
    if (root.isSet("group") != root.isSet("rank")) {
      String given = root.isSet("group") ? "group" : "rank";
      faults.add(root.fault(given, "one of group and rank alone", "both or neither"));
    }
  }

  private static void requireKey(Section root, String key, List<Fault> faults) {
    if (!root.isSet(key)) {
      String problem = "the key \"" + key + "\" is missing";
      faults.add(root.fault(key, problem, "a value, as kind is " + root.text("kind")));
    }
  }

  private static void rejectKeys(Section root, List<String> keys, List<Fault> faults) {
    keys.stream()
        .filter(root::isSet)
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
