package dev.ibishub.node;

import dev.ibishub.platform.standins.Deployment;
import dev.ibishub.wire.Identity;
import dev.ibishub.wire.Link;
import dev.ibishub.wire.LinkListener;
import dev.ibishub.wire.WireTransport;
import dev.ibishub.wire.generated.Frame;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * An entry and an agent as processes with a small heap and few descriptors, targets with large
 * responses, and crowds of connections. Tells how the processes bear them.
 */
final class CrowdedEntry implements AutoCloseable {
  static final String ENTRY = "entry-1";
  static final String AGENT = "agent-1";

  /** Descriptors that each process may open. */
  static final int DESCRIPTORS = 1_200;

  /** Memory of the VMs that {@code deploy/system.toml} runs on, bytes. */
  static final long ENTRY_MEMORY_BYTES = 430_000_000;

  static final long AGENT_MEMORY_BYTES = 298_000_000;

  private static final String HOST = "127.0.1.1";
  private static final String AGENT_HOST = "127.0.3.1";
  private static final int ENTRY_HEAP_MEGABYTES = 28;
  private static final int AGENT_HEAP_MEGABYTES = 16;
  private static final int ROUTE_TIMEOUT_MILLIS = 20_000;
  private static final int ORDINARY_TIMEOUT_MILLIS = 5_000;
  private static final long RETRY_MILLIS = 200;

  private final Deployment deployment;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final SizedTarget target = new SizedTarget("t-1", group);
  private final InetSocketAddress metrics;
  private final AtomicInteger numbers = new AtomicInteger();

  CrowdedEntry() throws IOException, InterruptedException {
    deployment = new Deployment(new Deployment.Programs(CrowdedEntry::command));
    deployment.setRouteTimeout(ROUTE_TIMEOUT_MILLIS);
    deployment.publish(1, "pages", "key-1");
    deployment.store().put("keyed.servers", "t-1", target.announcement("pages"));
    metrics = new InetSocketAddress(HOST, deployment.freshPort(HOST));
    startEntry();
    deployment.endFirstStart();
  }

  /** Starts the entry, at new ports but for that of metrics, and waits until it serves. */
  void startEntry() throws IOException, InterruptedException {
    deployment.startEntry(ENTRY, HOST, HOST, ",\"metricsPort\":" + metrics.getPort());
    deployment.await("entry ready", () -> deployment.readiness(ENTRY) == 200);
    deployment.await("first answer", this::isAnswered);
  }

  /** Returns the command line with the options of {@code deploy/system.toml} and a smaller heap. */
  private static List<String> command(String process) {
    int heapMegabytes = process.equals(ENTRY) ? ENTRY_HEAP_MEGABYTES : AGENT_HEAP_MEGABYTES;
    return Stream.concat(
            Stream.of("sh", "-c", "ulimit -n " + DESCRIPTORS + "; exec \"$0\" \"$@\""),
            Stream.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx" + heapMegabytes + "m",
                "-Xss256k",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-XX:+ExitOnOutOfMemoryError",
                "-Dio.netty.allocator.type=unpooled",
                "-Dio.netty.noPreferDirect=true",
                "-cp",
                System.getProperty("java.class.path"),
                NodeMain.class.getName()))
        .toList();
  }

  /** Starts an agent beside a target that is a rank. */
  void startAgent() throws IOException, InterruptedException {
    deployment.startAgent(AGENT, deployment.startTarget("r-1", AGENT_HOST, "models"));
    deployment.await(
        "agent listens",
        () -> {
          new Socket(AGENT_HOST, deployment.linkPort()).close();
          return true;
        });
  }

  Deployment deployment() {
    return deployment;
  }

  Process process(String name) {
    return deployment.process(name);
  }

  /** Opens connections to the port for callers. */
  Crowd crowdOfCallers(int connections, Crowd.Behavior each) {
    return crowd(addressOf(deployment.callerAddress(ENTRY)), connections, each);
  }

  Crowd crowdOfDirectory(int connections, Crowd.Behavior each) {
    return crowd(addressOf(deployment.address(ENTRY, "directoryAddress")), connections, each);
  }

  Crowd crowdOfReadiness(int connections, Crowd.Behavior each) {
    return crowd(addressOf(deployment.address(ENTRY, "readinessAddress")), connections, each);
  }

  Crowd crowdOfMetrics(int connections, Crowd.Behavior each) {
    return crowd(metrics, connections, each);
  }

  /** Opens connections to the port for links of a process. */
  Crowd crowdOfLinks(String process, int connections, Crowd.Behavior each) {
    return crowd(new InetSocketAddress(hostOf(process), deployment.linkPort()), connections, each);
  }

  private Crowd crowd(InetSocketAddress to, int connections, Crowd.Behavior each) {
    return Crowd.open(group, to, connections, each);
  }

  private static InetSocketAddress addressOf(String text) {
    URI address = URI.create("http://" + text);
    return new InetSocketAddress(address.getHost(), address.getPort());
  }

  /** Returns a request with a further header, whose lines end it. */
  static String request(String path, String header) {
    return "GET " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: key-1\r\n" + header + "\r\n";
  }

  /** Returns whether an ordinary request, on a connection of its own, gets its whole answer. */
  boolean isAnswered() throws IOException {
    String path = "/page/bytes/7/" + numbers.incrementAndGet();
    String response = response(addressOf(deployment.callerAddress(ENTRY)), path);
    return response.startsWith("HTTP/1.1 200") && response.endsWith("\r\n\r\nxxxxxxx");
  }

  /** Returns whether the directory names this entry. */
  boolean isListed() throws IOException {
    return response(
            addressOf(deployment.address(ENTRY, "directoryAddress")),
            "/ibishub/resolution?name=h.example&region=r&zone=z1")
        .contains(deployment.callerAddress(ENTRY));
  }

  /** Returns whether the entry says that it is ready. */
  boolean isReady() throws IOException {
    return response(addressOf(deployment.address(ENTRY, "readinessAddress")), "/ibishub/readiness")
        .startsWith("HTTP/1.1 200");
  }

  /**
   * Sends bytes and reads the responses at a steady rate.
   *
   * @param expectedBytes how much to read at least
   * @return the number of bytes that came before the connection ended, or all that was expected
   */
  long download(String sent, long expectedBytes, int bytesPerSecond)
      throws IOException, InterruptedException {
    byte[] piece = new byte[bytesPerSecond / 10];
    long received = 0;
    try (Socket caller = new Socket()) {
      caller.setReceiveBufferSize(1 << 16);
      caller.setSoTimeout(ORDINARY_TIMEOUT_MILLIS);
      caller.connect(addressOf(deployment.callerAddress(ENTRY)));
      caller.getOutputStream().write(sent.getBytes(StandardCharsets.US_ASCII));
      int count = 0;
      while (received < expectedBytes && count >= 0) {
        count = caller.getInputStream().readNBytes(piece, 0, piece.length);
        received += count;
        TimeUnit.MILLISECONDS.sleep(100);
        count = count < piece.length ? -1 : count;
      }
    }
    return received;
  }

  private static String response(InetSocketAddress to, String path) throws IOException {
    try (Socket caller = new Socket()) {
      caller.setSoTimeout(ORDINARY_TIMEOUT_MILLIS);
      caller.connect(to, ORDINARY_TIMEOUT_MILLIS);
      caller
          .getOutputStream()
          .write(
              request(path, "X-Deadline-Ms: 5000\r\nConnection: close\r\n")
                  .getBytes(StandardCharsets.US_ASCII));
      return new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }
  }

  /** Waits until one ordinary request is answered, and one to each page of the entry. */
  void awaitOrdinaryAnswers() throws InterruptedException {
    deployment.await("an ordinary answer", () -> isAnsweredOrPauses(this::isAnswered));
    deployment.await("an answer of the directory", () -> isAnsweredOrPauses(this::isListed));
    deployment.await("an answer of readiness", () -> isAnsweredOrPauses(this::isReady));
  }

  /** A question to the entry. */
  @FunctionalInterface
  private interface Probe {
    boolean isAnswered() throws IOException;
  }

  private static boolean isAnsweredOrPauses(Probe probe) throws InterruptedException, IOException {
    boolean isAnswered = probe.isAnswered();
    if (!isAnswered) {
      TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
    }
    return isAnswered;
  }

  /** Returns the values of a metric of the entry by its labels; empty for a metric without any. */
  Map<String, Double> metric(String name) throws IOException {
    String page = response(metrics, "/metrics");
    return Arrays.stream(page.split("\n", -1))
        .filter(line -> line.startsWith(name + "{") || line.startsWith(name + " "))
        .collect(
            Collectors.toMap(
                line -> line.substring(name.length(), line.lastIndexOf(' ')),
                line -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1))));
  }

  /** Waits until no memory is held for callers but that of open connections. */
  void awaitNoMemoryHeld() throws InterruptedException {
    deployment.await(
        "no memory held for callers",
        () -> {
          Map<String, Double> held = metric("ibishub_caller_memory_bytes");
          return !held.isEmpty()
              && held.entrySet().stream()
                  .filter(kind -> !kind.getKey().contains("\"connection\""))
                  .allMatch(kind -> kind.getValue() == 0);
        });
  }

  /** Returns how often limits on callers applied, at any port, by the labels of their events. */
  double limitsApplied(String... events) throws IOException {
    return metric("ibishub_caller_limits_total").entrySet().stream()
        .filter(
            each ->
                Arrays.stream(events)
                    .anyMatch(event -> each.getKey().contains("\"" + event + "\"")))
        .mapToDouble(Map.Entry::getValue)
        .sum();
  }

  /** Waits until a process completes the handshake of a link. */
  void awaitLink(String process) throws InterruptedException {
    Identity identity = new Identity("prober", "prober", "z1", 1);
    deployment.await(
        "a link to " + process,
        () -> {
          try (WireTransport transport = WireTransport.create(identity, Optional.empty())) {
            transport.connect(hostOf(process), deployment.linkPort(), new NoFrames()).join();
            return true;
          }
        });
  }

  private static String hostOf(String process) {
    return process.equals(ENTRY) ? HOST : AGENT_HOST;
  }

  /** Ignores all frames. */
  private static final class NoFrames implements LinkListener {
    @Override
    public void onOpen(Link link) {}

    @Override
    public void onClose(Link link) {}

    @Override
    public void onFrame(Link link, Frame frame) {}
  }

  /** Returns the most memory that a process has had, bytes. */
  long peakMemoryBytes(String name) throws IOException {
    try (Stream<String> lines = Files.lines(proc(name).resolve("status"))) {
      return lines
          .filter(line -> line.startsWith("VmHWM:"))
          .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")) * 1_024)
          .findFirst()
          .orElseThrow();
    }
  }

  /** Returns the number of descriptors that a process has open. */
  long openDescriptors(String name) throws IOException {
    try (Stream<Path> open = Files.list(proc(name).resolve("fd"))) {
      return open.count();
    }
  }

  private Path proc(String name) {
    return Path.of("/proc", Long.toString(process(name).pid()));
  }

  /** Returns the last lines of a process's log, for the message of a failure. */
  String endOfLog(String name) throws IOException {
    String log = deployment.logOf(name);
    return log.substring(Math.max(0, log.length() - 1_000));
  }

  /** Returns the exit status of a process; empty while it runs. */
  Optional<Integer> exitStatus(String name) {
    return Optional.of(process(name)).filter(each -> !each.isAlive()).map(Process::exitValue);
  }

  @Override
  public void close() {
    deployment.close();
    target.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }
}
