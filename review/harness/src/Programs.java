import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The project's own programs as processes: the command lines of deploy/system.toml, and settings
 * with the fields of deploy/entry.json and deploy/agent.json, filled in as on a small site.
 */
final class Programs implements AutoCloseable {
  private final Path root;
  private final Path folder;
  private final String storeAddress;
  private final int linkPort;
  private final List<String> seeds = new ArrayList<>();
  private final Map<String, Process> processes = new LinkedHashMap<>();
  private final Map<String, String[]> addresses = new LinkedHashMap<>();

  /** Extra members of the settings of all entries, each preceded by a comma. */
  String additional = "";

  /** Bounds of the site, by the keys of the settings. */
  int retrySlack = 88;

  Programs(Path root, String storeAddress) throws IOException {
    this.root = root;
    this.storeAddress = storeAddress;
    folder = Files.createTempDirectory("review");
    linkPort = freePort("127.0.0.1");
  }

  static int freePort(String host) throws IOException {
    try (ServerSocket socket = new ServerSocket()) {
      socket.bind(new InetSocketAddress(host, 0));
      return socket.getLocalPort();
    }
  }

  Path folder() {
    return folder;
  }

  private List<String> command(String role) throws IOException {
    String text = Files.readString(root.resolve("deploy/system.toml"));
    Matcher matcher =
        Pattern.compile("\\[roles\\." + role + "\\]\\s*run = \"([^\"]*)\"").matcher(text);
    if (!matcher.find()) {
      throw new IOException("no command line of " + role + " in deploy/system.toml");
    }
    return List.of(matcher.group(1).split(" "));
  }

  /** Returns the address at which an entry takes requests. */
  String caller(String entry) {
    return addresses.get(entry)[0];
  }

  String readiness(String entry) {
    return addresses.get(entry)[1];
  }

  void startEntry(String name, String host, String zone, boolean firstStart) throws IOException {
    if (!addresses.containsKey(name)) {
      addresses.put(
          name,
          new String[] {
            host + ":" + freePort(host), host + ":" + freePort(host), host + ":" + freePort(host)
          });
      if (seeds.size() < 3) {
        seeds.add("\"" + host + ":1\"");
      }
    }
    String[] own = addresses.get(name);
    start(
        name,
        "entry",
        "{\"processId\":\"" + name + "\",\"zone\":\"" + zone + "\",\"host\":\"" + host
            + "\",\"linkPort\":" + linkPort
            + ",\"seeds\":[" + String.join(",", seeds) + "]"
            + ",\"callerAddress\":\"" + own[0] + "\",\"readinessAddress\":\"" + own[1]
            + "\",\"directoryAddress\":\"" + own[2]
            + "\",\"storeAddress\":\"" + storeAddress + "\""
            + ",\"graceSeconds\":8,\"longestAddressValiditySeconds\":5,\"retriesPerRequest\":0.2"
            + ",\"sharedRetryAllowance\":" + retrySlack + ",\"retryWindowSeconds\":10"
            + ",\"configurationMillis\":2000,\"storeReadsPerSecond\":2000"
            + (firstStart ? ",\"firstStart\":true" : "")
            + ",\"descriptors\":4200" + additional + "}");
  }

  void startAgent(String name, String host, String zone, String engineAddress) throws IOException {
    start(
        name,
        "agent",
        "{\"processId\":\"" + name + "\",\"zone\":\"" + zone + "\",\"host\":\"" + host
            + "\",\"linkPort\":" + linkPort
            + ",\"engineAddress\":\"" + engineAddress + "\"}");
  }

  private void start(String name, String role, String settings) throws IOException {
    Path file = Files.writeString(folder.resolve(name + ".json"), settings);
    ProcessBuilder builder = new ProcessBuilder(command(role));
    builder.directory(root.toFile());
    builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    builder.environment().put("IBISHUB_NODE_FILE", file.toString());
    File log = folder.resolve(name + ".log").toFile();
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    processes.put(name, builder.start());
  }

  Process process(String name) {
    return processes.get(name);
  }

  String log(String name) throws IOException {
    return Files.readString(folder.resolve(name + ".log"));
  }

  void signal(String name, String signal) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + signal, Long.toString(processes.get(name).pid()))
        .start()
        .waitFor();
  }

  /** Waits until an entry answers the platform's question whether it is ready with 200. */
  boolean awaitReady(String entry, long millis) throws InterruptedException {
    long deadline = System.currentTimeMillis() + millis;
    while (System.currentTimeMillis() < deadline) {
      if (isReady(entry)) {
        return true;
      }
      Thread.sleep(100);
    }
    return false;
  }

  boolean isReady(String entry) {
    String[] parts = readiness(entry).split(":");
    try (Socket socket = new Socket()) {
      socket.connect(
          new InetSocketAddress(InetAddress.getByName(parts[0]), Integer.parseInt(parts[1])), 500);
      socket.setSoTimeout(500);
      socket
          .getOutputStream()
          .write(("GET /ibishub/readiness HTTP/1.1\r\nHost: x\r\n\r\n").getBytes());
      byte[] start = socket.getInputStream().readNBytes(12);
      return new String(start).endsWith("200");
    } catch (IOException e) {
      return false;
    }
  }

  @Override
  public void close() {
    processes.values().forEach(Process::destroyForcibly);
    for (Process process : processes.values()) {
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
