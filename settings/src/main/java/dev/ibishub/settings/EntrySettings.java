package dev.ibishub.settings;

import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * Settings of an {@code ibishub-entry}, which runs behind ibishub's own interface; on the users'
 * platform, see {@link NodeSettings}. docs/CONFIGURATION.md documents each key with unit, default
 * and limits; the components are named like the keys.
 *
 * @param processId the unique name of the process, as in the platform's list of VMs
 * @param zone the failure domain
 * @param site the site whose overlay applies
 * @param host the IP address to listen on
 * @param callerPort the port for callers and operators; 0 picks any free port
 * @param peerPort the port for other ibishub processes; 0 picks any free port
 * @param callerUrl the URL that callers are told to use; if empty, host and callerPort
 * @param logUrl the URL of the platform's log
 * @param virtualMachineListUrl the URL of the platform's list of VMs
 * @param logRetentionSeconds how long the platform's log keeps records, seconds
 * @param operators the operators who may use the operator API
 * @param maximumBodyBytes the maximum size of a request's body, bytes
 * @param maximumHeaderBytes the maximum size of a request's header, bytes
 * @param maximumConcurrentStreams the maximum number of requests in flight
 * @param maximumStreamsPerCaller the maximum number of requests in flight from one caller address
 * @param slowSenderSeconds how long the headers, and the body, of a request may take to arrive,
 *     seconds
 * @param callerMemoryBytes the memory that may be held for callers, bytes; 0 for half of the heap
 * @param maximumCallerConnections the most connections of callers; 0 for what descriptors and
 *     memory allow
 * @param stalledResponseSeconds the time after which a connection is closed whose caller has read
 *     nothing of a response, seconds
 * @param requestTimeoutSeconds the deadline of requests that set none, seconds from arrival
 * @param drainSeconds the longest time that a planned stop waits for requests in flight, seconds
 * @param addressValiditySeconds how long callers may cache an answer with addresses, seconds
 * @param logFormat the format of the lines of the process's own log
 * @param tls key files for TLS between processes
 */
public record EntrySettings(
    String processId,
    String zone,
    String site,
    String host,
    int callerPort,
    int peerPort,
    Optional<String> callerUrl,
    String logUrl,
    String virtualMachineListUrl,
    int logRetentionSeconds,
    List<OperatorSettings> operators,
    int maximumBodyBytes,
    int maximumHeaderBytes,
    int maximumConcurrentStreams,
    int maximumStreamsPerCaller,
    int slowSenderSeconds,
    int callerMemoryBytes,
    int maximumCallerConnections,
    int stalledResponseSeconds,
    int requestTimeoutSeconds,
    int drainSeconds,
    int addressValiditySeconds,
    LogFormat logFormat,
    Optional<TlsSettings> tls) {

  static final ObjectSchema SCHEMA =
      ObjectSchema.of(
          Key.text(
              "processId", TextFormats.NAME, "Unique name of the process, as in the list of VMs."),
          CommonKeys.ZONE,
          CommonKeys.SITE,
          CommonKeys.HOST,
          CommonKeys.port("callerPort", "Port for callers and operators; 0 takes any free one."),
          CommonKeys.port(
              "peerPort", "Port for the project's own processes; 0 takes any free one."),
          Key.text(
                  "callerUrl",
                  TextFormats.URL,
                  "What callers are told to connect to; left out, it is made of host and"
                      + " callerPort.")
              .optional(),
          CommonKeys.LOG_URL,
          CommonKeys.VIRTUAL_MACHINE_LIST_URL,
          CommonKeys.LOG_RETENTION_SECONDS,
          Key.sections(
              "operators",
              ObjectSchema.of(
                  Key.text("name", TextFormats.NAME, "Name that the audit trail shows."),
                  Key.text("token", TextFormats.SECRET, "Bearer token of the operator; secret."),
                  Key.text(
                      "role",
                      TextFormats.oneOf("viewer", "operator", "admin"),
                      "What the operator may do: viewer reads, operator also publishes, drains and"
                          + " evacuates, admin may do all.")),
              "Who may use the operator API."),
          Key.integer("maximumBodyBytes", "bytes", 1, 1 << 30, "Largest body of a request.")
              .defaultingTo(1_048_576L),
          Key.integer("maximumHeaderBytes", "bytes", 256, 1 << 20, "Largest header of a request.")
              .defaultingTo(16_384L),
          Key.integer("maximumConcurrentStreams", "", 1, 1_000_000, "Most requests in flight.")
              .defaultingTo(1_024L),
          Key.integer(
                  "maximumStreamsPerCaller",
                  "",
                  1,
                  1_000_000,
                  "Most requests in flight of one caller address.")
              .defaultingTo(256L),
          CommonKeys.seconds(
              "slowSenderSeconds",
              10,
              "How long the headers, and the body, of a request may take to arrive."),
          CommonKeys.CALLER_MEMORY_BYTES,
          CommonKeys.MAXIMUM_CALLER_CONNECTIONS,
          CommonKeys.STALLED_RESPONSE_SECONDS,
          CommonKeys.seconds(
              "requestTimeoutSeconds", 120, "Deadline of a request that gives none."),
          CommonKeys.DRAIN_SECONDS,
          CommonKeys.seconds(
              "addressValiditySeconds", 30, "How long callers may keep an answer with addresses."),
          CommonKeys.LOG_FORMAT,
          CommonKeys.TLS);

  public EntrySettings {
    operators = List.copyOf(operators);
  }

  /**
   * Reads a settings file.
   *
   * @param path the file
   * @return the settings
   * @throws SettingsException with all faults of the file
   */
  public static EntrySettings read(Path path) {
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
  public static EntrySettings parse(String file, String text) {
    return SettingsFiles.parse(file, text, SCHEMA, EntrySettings::check, EntrySettings::of);
  }

  private static void check(Section root, List<Fault> faults) {
    List<Section> operators = root.sections("operators");
    Set<String> names = new HashSet<>();
    Set<String> tokens = new HashSet<>();
    IntStream.range(0, operators.size())
        .mapToObj(operators::get)
        .forEach(
            operator -> {
              if (!names.add(operator.text("name"))) {
                faults.add(operator.fault("name", "the name is given twice", "a unique name"));
              }
              if (!tokens.add(operator.text("token"))) {
                faults.add(operator.fault("token", "two operators share it", "a token each"));
              }
            });
    if (root.integer("callerPort") != 0 && root.integer("callerPort") == root.integer("peerPort")) {
      faults.add(root.fault("peerPort", "the same as callerPort", "a port of its own"));
    }
  }

  private static EntrySettings of(Section root) {
    return new EntrySettings(
        root.text("processId"),
        root.text("zone"),
        root.text("site"),
        root.text("host"),
        root.integer("callerPort"),
        root.integer("peerPort"),
        root.optionalText("callerUrl"),
        root.text("logUrl"),
        root.text("virtualMachineListUrl"),
        root.integer("logRetentionSeconds"),
        root.sections("operators").stream().map(OperatorSettings::of).toList(),
        root.integer("maximumBodyBytes"),
        root.integer("maximumHeaderBytes"),
        root.integer("maximumConcurrentStreams"),
        root.integer("maximumStreamsPerCaller"),
        root.integer("slowSenderSeconds"),
        root.integer("callerMemoryBytes"),
        root.integer("maximumCallerConnections"),
        root.integer("stalledResponseSeconds"),
        root.integer("requestTimeoutSeconds"),
        root.integer("drainSeconds"),
        root.integer("addressValiditySeconds"),
        LogFormat.of(root.text("logFormat")),
        root.section("tls").map(TlsSettings::of));
  }
}
