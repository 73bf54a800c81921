package dev.ibishub.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/**
 * Settings of an {@code ibishub-node}, the entry or agent that runs on the users' platform.
 * docs/CONFIGURATION.md documents each key with unit, default and limits; the components are named
 * like the keys. Behind ibishub's own interface, {@link EntrySettings} and {@link AgentSettings}
 * are used instead.
 *
 * @param processId the unique name of the process
 * @param zone the failure domain of the process
 * @param host the IP address of its VM
 * @param linkPort the port for links between entries and agents, the same on all VMs
 * @param seeds the initial addresses of entries; may be out of date
 * @param callerAddress the address that accepts callers' requests; entries only
 * @param readinessAddress the address of the readiness check for the platform; entries only
 * @param directoryAddress the address where callers look up which addresses to use; entries only
 * @param storeAddress the address of the platform's store; entries only
 * @param engineAddress the address of the target on this VM; agents only
 * @param addressValiditySeconds how long callers may cache a looked-up address, seconds
 * @param longestAddressValiditySeconds the longest validity that callers honor, seconds
 * @param graceSeconds the time between the stop signal and the forced kill, seconds
 * @param retriesPerRequest the number of retries that each request adds to the retry budget
 * @param sharedRetryAllowance the additional retries per window, shared by all entries
 * @param retryWindowSeconds the length of the retry window, seconds
 * @param configurationMillis the time within which a published configuration must be in force at
 *     all entries, milliseconds
 * @param storeReadsPerSecond the reads per second that the store accepts from all entries together
 * @param admission for which services requests are subject to admission, and whether they may wait:
 *     {@code automatic}, {@code queue}, {@code on} or {@code off}
 * @param metricsPort the port for metrics; 0 for no metrics
 * @param isFirstStart whether the whole system starts for the first time
 * @param coldOverrun the factor by which one second may exceed the rate that a cold target
 *     tolerates
 * @param coldSlack the requests that one second may have beyond that
 * @param callerMemoryBytes the memory that may be held for callers, bytes; 0 for half of the heap
 * @param maximumCallerConnections the most connections of callers; 0 for what descriptors and
 *     memory allow
 * @param maximumPageConnections the most connections of each of the ports for readiness, addresses
 *     and metrics; 0 for what descriptors allow
 * @param descriptors the descriptors that the process may open; 0 for what the system says
 * @param maximumHandshakes the most connections to the port for links whose handshake is not
 *     complete
 * @param linkMemoryBytes the memory for incomplete frames of links, bytes; 0 for a quarter of the
 *     heap
 * @param stalledResponseSeconds the time after which a connection is closed whose caller has read
 *     nothing of a response, seconds
 */
public record NodeSettings(
    String processId,
    String zone,
    String host,
    int linkPort,
    List<String> seeds,
    Optional<String> callerAddress,
    Optional<String> readinessAddress,
    Optional<String> directoryAddress,
    Optional<String> storeAddress,
    Optional<String> engineAddress,
    double addressValiditySeconds,
    double longestAddressValiditySeconds,
    int graceSeconds,
    double retriesPerRequest,
    double sharedRetryAllowance,
    int retryWindowSeconds,
    double configurationMillis,
    double storeReadsPerSecond,
    String admission,
    int metricsPort,
    boolean isFirstStart,
    double coldOverrun,
    double coldSlack,
    int callerMemoryBytes,
    int maximumCallerConnections,
    int maximumPageConnections,
    int descriptors,
    int maximumHandshakes,
    int linkMemoryBytes,
    int stalledResponseSeconds) {

  static final ObjectSchema SCHEMA =
      ObjectSchema.of(
          Key.text("processId", TextFormats.NAME, "Unique name of the process."),
          CommonKeys.ZONE,
          CommonKeys.HOST,
          CommonKeys.port(
              "linkPort", "Port for links between entries and agents, the same on all VMs."),
          Key.texts(
              "seeds",
              TextFormats.SOCKET,
              "Addresses of entries to begin with; they may be out of date."),
          Key.text("callerAddress", TextFormats.SOCKET, "Where callers' requests are taken.")
              .optional(),
          Key.text("readinessAddress", TextFormats.SOCKET, "Where the platform asks for readiness.")
              .optional(),
          Key.text("directoryAddress", TextFormats.SOCKET, "Where callers ask for addresses.")
              .optional(),
          Key.text("storeAddress", TextFormats.SOCKET, "Where the platform's store answers.")
              .optional(),
          Key.text("engineAddress", TextFormats.SOCKET, "Where the target on this VM answers.")
              .optional(),
          Key.number("addressValiditySeconds", "s", 0.1, 60, "How long callers may keep an answer.")
              .defaultingTo(2.0),
          Key.number(
                  "longestAddressValiditySeconds",
                  "s",
                  0.1,
                  600,
                  "How much of that time callers honour at most.")
              .defaultingTo(5.0),
          Key.integer(
                  "graceSeconds",
                  "s",
                  1,
                  600,
                  "Time between the signal to stop and the end by force.")
              .defaultingTo(8L),
          Key.number("retriesPerRequest", "", 0, 1, "Retries that each request earns.")
              .defaultingTo(0.1),
          Key.number(
                  "sharedRetryAllowance",
                  "",
                  0,
                  1_000_000,
                  "Retries in a window that entries share; one that hears no other has none.")
              .defaultingTo(0.0),
          Key.integer("retryWindowSeconds", "s", 1, 3_600, "Length of that window.")
              .defaultingTo(10L),
          Key.number(
                  "configurationMillis",
                  "ms",
                  500,
                  600_000,
                  "Time within which a published configuration must be in force at all entries.")
              .defaultingTo(10_000.0),
          Key.number(
                  "storeReadsPerSecond",
                  "1/s",
                  1,
                  1_000_000,
                  "Reads that the store accepts from all entries together.")
              .defaultingTo(6_000.0),
          Key.text(
                  "admission",
                  TextFormats.oneOf("automatic", "queue", "on", "off"),
                  "Whether requests for engines are refused, or wait, by their urgency.")
              .defaultingTo("automatic"),
          CommonKeys.port("metricsPort", "Port for metrics; 0 for none.").defaultingTo(0L),
          Key.flag(
                  "firstStart",
                  "Whether the whole system starts for the first time; no entry has a predecessor.")
              .defaultingTo(false),
          Key.number(
                  "coldOverrun",
                  "",
                  1,
                  1_000,
                  "Factor by which one second may exceed the rate that a cold target tolerates.")
              .defaultingTo(1.0),
          Key.number(
                  "coldSlack",
                  "",
                  0,
                  1_000_000,
                  "Requests that one second may have beyond that at a cold target.")
              .defaultingTo(0.0),
          CommonKeys.CALLER_MEMORY_BYTES,
          CommonKeys.MAXIMUM_CALLER_CONNECTIONS,
          Key.integer(
                  "maximumPageConnections",
                  "",
                  0,
                  1_000_000,
                  "Most connections of each port for pages; 0 for what descriptors allow.")
              .defaultingTo(0L),
          Key.integer(
                  "descriptors",
                  "",
                  0,
                  100_000_000,
                  "Descriptors that the process may open; 0 for what the system says.")
              .defaultingTo(0L),
          Key.integer(
                  "maximumHandshakes",
                  "",
                  1,
                  1_000_000,
                  "Most connections to the port for links whose handshake is not complete.")
              .defaultingTo(64L),
          Key.integer(
                  "linkMemoryBytes",
                  "bytes",
                  0,
                  1 << 30,
                  "Memory for long incomplete frames of links; 0 for a quarter of the heap.")
              .defaultingTo(0L),
          CommonKeys.STALLED_RESPONSE_SECONDS);

  private static final Map<String, Function<NodeSettings, Object>> FIXED_KEYS =
      Map.ofEntries(
          Map.entry("processId", NodeSettings::processId),
          Map.entry("zone", NodeSettings::zone),
          Map.entry("host", NodeSettings::host),
          Map.entry("linkPort", NodeSettings::linkPort),
          Map.entry("callerAddress", NodeSettings::callerAddress),
          Map.entry("readinessAddress", NodeSettings::readinessAddress),
          Map.entry("directoryAddress", NodeSettings::directoryAddress),
          Map.entry("storeAddress", NodeSettings::storeAddress),
          Map.entry("engineAddress", NodeSettings::engineAddress),
          Map.entry("metricsPort", NodeSettings::metricsPort),
          Map.entry("maximumHandshakes", NodeSettings::maximumHandshakes),
          Map.entry("linkMemoryBytes", NodeSettings::linkMemoryBytes));

  /** Makes a defensive copy of the seeds. */
  public NodeSettings {
    seeds = List.copyOf(seeds);
  }

  /**
   * Reads a settings file.
   *
   * @throws SettingsException with all faults of the file
   */
  public static NodeSettings read(Path path) {
    return parse(path.toString(), SettingsFiles.read(path));
  }

  /**
   * Reads settings from a text.
   *
   * @param file the name of the text in faults
   * @param text JSON with comments
   * @throws SettingsException with all faults of the text
   */
  public static NodeSettings parse(String file, String text) {
    return SettingsFiles.parse(file, text, SCHEMA, NodeSettings::check, NodeSettings::of);
  }

  /** Returns the keys whose values differ and cannot change while a process runs, sorted. */
  public List<String> changedFixedKeys(NodeSettings other) {
    return FIXED_KEYS.entrySet().stream()
        .filter(key -> !key.getValue().apply(this).equals(key.getValue().apply(other)))
        .map(Map.Entry::getKey)
        .sorted()
        .toList();
  }

  /**
   * Returns these settings with the values of other settings for the keys that cannot change while
   * a process runs.
   */
  public NodeSettings withFixedKeysOf(NodeSettings other) {
    return new NodeSettings(
        other.processId,
        other.zone,
        other.host,
        other.linkPort,
        seeds,
        other.callerAddress,
        other.readinessAddress,
        other.directoryAddress,
        other.storeAddress,
        other.engineAddress,
        addressValiditySeconds,
        longestAddressValiditySeconds,
        graceSeconds,
        retriesPerRequest,
        sharedRetryAllowance,
        retryWindowSeconds,
        configurationMillis,
        storeReadsPerSecond,
        admission,
        other.metricsPort,
        isFirstStart,
        coldOverrun,
        coldSlack,
        callerMemoryBytes,
        maximumCallerConnections,
        maximumPageConnections,
        descriptors,
        other.maximumHandshakes,
        other.linkMemoryBytes,
        stalledResponseSeconds);
  }

  private static void check(Section root, List<Fault> faults) {
    List<String> entryKeys =
        List.of("callerAddress", "readinessAddress", "directoryAddress", "storeAddress");
    boolean isAgent = root.isSet("engineAddress");
    entryKeys.stream()
        .filter(key -> root.isSet(key) == isAgent)
        .map(
            key ->
                isAgent
                    ? root.fault(key, "has no meaning beside engineAddress", "it left out")
                    : root.fault(key, "the key \"" + key + "\" is missing", "IP:PORT"))
        .forEach(faults::add);
  }

  private static NodeSettings of(Section root) {
    return new NodeSettings(
        root.text("processId"),
        root.text("zone"),
        root.text("host"),
        root.integer("linkPort"),
        root.texts("seeds"),
        root.optionalText("callerAddress"),
        root.optionalText("readinessAddress"),
        root.optionalText("directoryAddress"),
        root.optionalText("storeAddress"),
        root.optionalText("engineAddress"),
        root.number("addressValiditySeconds"),
        root.number("longestAddressValiditySeconds"),
        root.integer("graceSeconds"),
        root.number("retriesPerRequest"),
        root.number("sharedRetryAllowance"),
        root.integer("retryWindowSeconds"),
        root.number("configurationMillis"),
        root.number("storeReadsPerSecond"),
        root.text("admission"),
        root.integer("metricsPort"),
        root.flag("firstStart"),
        root.number("coldOverrun"),
        root.number("coldSlack"),
        root.integer("callerMemoryBytes"),
        root.integer("maximumCallerConnections"),
        root.integer("maximumPageConnections"),
        root.integer("descriptors"),
        root.integer("maximumHandshakes"),
        root.integer("linkMemoryBytes"),
        root.integer("stalledResponseSeconds"));
  }
}
