package dev.ibishub.settings;

import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * Settings of an {@code ibishub-entry}. docs/CONFIGURATION.md gives each key with unit, default and
 * limits; the components here are named as the keys.
 *
 * @param processId unique name of the process, as in the platform's list of VMs
 * @param zone the failure domain
 * @param site the site whose overlay holds here
 * @param host the IP number to listen on
 * @param callerPort the port for callers and operators; 0 takes any free one
 * @param peerPort the port for the project's own processes; 0 takes any free one
 * @param callerUrl what callers are told to connect to, where it is not host and callerPort
 * @param logUrl where the platform's log answers
 * @param virtualMachineListUrl where the platform's list of VMs can be read
 * @param logRetentionSeconds how long the platform's log keeps records, seconds
 * @param operators who may use the operator API
 * @param maximumBodyBytes the largest body of a request, bytes
 * @param maximumHeaderBytes the largest header of a request, bytes
 * @param maximumConcurrentStreams the most requests in flight
 * @param maximumStreamsPerCaller the most requests in flight of one caller address
 * @param slowSenderSeconds how long a request may take to arrive in full, seconds
 * @param requestTimeoutSeconds the deadline of a request that gives none, seconds from its arrival
 * @param drainSeconds the longest that a planned stop waits, seconds
 * @param addressValiditySeconds how long callers may keep an answer with addresses, seconds
 * @param logFormat how a line of the program's own log is written
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
    int requestTimeoutSeconds,
    int drainSeconds,
    int addressValiditySeconds,
    LogFormat logFormat,
    Optional<TlsSettings> tls) {

  static final ObjectSchema SCHEMA =
      ObjectSchema.of(
          Key.text("processId", Forms.NAME, "Unique name of the process, as in the list of VMs."),
          CommonKeys.ZONE,
          CommonKeys.SITE,
          CommonKeys.HOST,
          CommonKeys.port("callerPort", "Port for callers and operators; 0 takes any free one."),
          CommonKeys.port(
              "peerPort", "Port for the project's own processes; 0 takes any free one."),
          Key.text(
                  "callerUrl",
                  Forms.URL,
                  "What callers are told to connect to; left out, it is made of host and"
                      + " callerPort.")
              .optional(),
          CommonKeys.LOG_URL,
          CommonKeys.VIRTUAL_MACHINE_LIST_URL,
          CommonKeys.LOG_RETENTION_SECONDS,
          Key.sections(
              "operators",
              ObjectSchema.of(
                  Key.text("name", Forms.NAME, "Name that the audit trail shows."),
                  Key.text("token", Forms.SECRET, "Bearer token of the operator; secret."),
                  Key.text(
                      "role",
                      Forms.oneOf("viewer", "operator", "admin"),
                      "What the operator may do: viewer reads, operator also publishes and drains,"
                          + " admin may do all.")),
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
              "slowSenderSeconds", 10, "How long a request may take to arrive in full."),
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
   * @throws SettingsException with all that is wrong with the file
   */
  public static EntrySettings read(Path path) {
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
        root.integer("requestTimeoutSeconds"),
        root.integer("drainSeconds"),
        root.integer("addressValiditySeconds"),
        LogFormat.of(root.text("logFormat")),
        root.section("tls").map(TlsSettings::of));
  }
}
