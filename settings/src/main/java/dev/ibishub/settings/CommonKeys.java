package dev.ibishub.settings;

/** Keys that are common to the settings of several kinds of process. */
final class CommonKeys {
  static final int MAXIMUM_PORT = 65_535;
  static final int MAXIMUM_SECONDS = 86_400;

  static final Key ZONE =
      Key.text("zone", TextFormats.NAME, "The failure domain in which the process runs.");
  static final Key SITE =
      Key.text("site", TextFormats.NAME, "The site whose overlay of the configuration holds here.");
  static final Key HOST =
      Key.text("host", TextFormats.ADDRESS, "The IP number on which the process listens.");
  static final Key LOG_URL =
      Key.text("logUrl", TextFormats.URL, "Where the platform's append-only log answers.");
  static final Key VIRTUAL_MACHINE_LIST_URL =
      Key.text(
          "virtualMachineListUrl",
          TextFormats.URL,
          "Where the platform's list of VMs can be read.");
  static final Key LOG_RETENTION_SECONDS =
      Key.integer(
              "logRetentionSeconds",
              "s",
              10,
              366L * MAXIMUM_SECONDS,
              "How long the platform's log keeps records; the configuration is appended again well"
                  + " before its newest record is that old.")
          .defaultingTo((long) MAXIMUM_SECONDS);
  static final Key DRAIN_SECONDS =
      seconds(
          "drainSeconds",
          600,
          "The longest that a planned stop waits for requests in flight; what is left then ends"
              + " with its result code.");
  static final Key CALLER_MEMORY_BYTES =
      Key.integer(
              "callerMemoryBytes",
              "bytes",
              0,
              1 << 30,
              "Memory held for callers: connections, requests, responses; 0 for half of the heap.")
          .defaultingTo(0L);
  static final Key MAXIMUM_CALLER_CONNECTIONS =
      Key.integer(
              "maximumCallerConnections",
              "",
              0,
              1_000_000,
              "Most connections of callers; 0 for what descriptors and memory allow.")
          .defaultingTo(0L);
  static final Key STALLED_RESPONSE_SECONDS =
      seconds(
          "stalledResponseSeconds",
          30,
          "Time after which a connection is closed whose caller has read nothing of a response.");
  static final Key LOG_FORMAT =
      Key.text(
              "logFormat",
              TextFormats.oneOf("key-value", "json"),
              "How a line of the program's own log is written.")
          .defaultingTo("key-value");
  static final Key TLS =
      Key.section(
          "tls",
          ObjectSchema.of(
              Key.text(
                  "certificateFile",
                  TextFormats.FILE,
                  "The process's own certificate chain, in PEM."),
              Key.text("keyFile", TextFormats.FILE, "The private key of the certificate, in PEM."),
              Key.text(
                  "trustFile",
                  TextFormats.FILE,
                  "The certificates, in PEM, that peers' certificates must lead to.")),
          "TLS with client certificates between the project's processes; without it they talk in"
              + " clear.");

  private CommonKeys() {}

  static Key seconds(String name, long defaultValue, String description) {
    return Key.integer(name, "s", 1, MAXIMUM_SECONDS, description).defaultingTo(defaultValue);
  }

  static Key port(String name, String description) {
    return Key.integer(name, "", 0, MAXIMUM_PORT, description);
  }
}
