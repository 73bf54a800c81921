package dev.ibishub.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.Callable;

/** Entries and agents as real processes on loopback, with stand-ins for everything outside. */
final class Deployment implements AutoCloseable {
  private static final Duration PATIENCE = Duration.ofSeconds(60);

  static {
    // The JDK's client otherwise insists on the address as the host that a request names.
    System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
  }

  private final StoreStandIn store = new StoreStandIn();
  private final Path folder = Files.createTempDirectory("ibishub-node");
  private final Map<String, Process> processes = new LinkedHashMap<>();
  private final Map<String, Map<String, String>> addresses = new LinkedHashMap<>();
  private final List<TargetStandIn> targets = new ArrayList<>();
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final int linkPort = freePort("127.0.0.1");

  Deployment() throws IOException {}

  StoreStandIn store() {
    return store;
  }

  Process process(String name) {
    return processes.get(name);
  }

  String callerAddress(String entry) {
    return addresses.get(entry).get("callerAddress");
  }

  /** Publishes a configuration with a page route, a stream route, and the keys of one workspace. */
  void publish(int version, String pageService, String... keys) {
    String quoted = keys.length == 0 ? "" : "\"" + String.join("\",\"", keys) + "\"";
    store.put(
        "keyed.op",
        "config",
        """
        {"version":%d,"routes":[
         {"name":"page","host":"h.example","path_prefix":"/page/","kind":"idempotent",
          "timeout_ms":5000,"service":"%s","max_attempts":2,"public":false},
         {"name":"once","host":"h.example","path_prefix":"/once/","kind":"non_idempotent",
          "timeout_ms":5000,"service":"%s","max_attempts":1,"public":true},
         {"name":"stream","host":"h.example","path_prefix":"/stream/","kind":"streaming",
          "timeout_ms":5000,"service":"%s","max_attempts":2,"public":true,"resumable":true}],
         "services":[{"name":"pages"},{"name":"other"},{"name":"models","engine":{"slots":4}}],
         "tenants":[{"name":"w1","api_keys":[%s]}]}
        """
            .formatted(version, pageService, pageService, pageService, quoted));
  }

  TargetStandIn target(String id, String host, String service) throws IOException {
    TargetStandIn target = new TargetStandIn(id, host);
    targets.add(target);
    store.put("keyed.servers", id, target.entry(service, "ready"));
    return target;
  }

  void startEntry(String name, String host, String seed) throws IOException {
    Map<String, String> keys = new LinkedHashMap<>();
    for (String key : List.of("callerAddress", "readinessAddress", "directoryAddress")) {
      keys.put(key, host + ":" + freePort(host));
    }
    addresses.put(name, keys);
    StringBuilder settings = new StringBuilder(common(name, host));
    keys.forEach((key, value) -> settings.append(",\"%s\":\"%s\"".formatted(key, value)));
    settings.append(",\"storeAddress\":\"%s\"".formatted(store.address()));
    settings.append(",\"seeds\":[\"%s:1\"],\"sharedRetryAllowance\":40}".formatted(seed));
    start(name, settings.toString());
  }

  void startAgent(String name, TargetStandIn target) throws IOException {
    String host = target.address().split(":", 2)[0];
    start(name, common(name, host) + ",\"engineAddress\":\"%s\"}".formatted(target.address()));
  }

  private String common(String name, String host) {
    return "{\"processId\":\"%s\",\"zone\":\"z1\",\"host\":\"%s\",\"linkPort\":%d"
        .formatted(name, host, linkPort);
  }

  private void start(String name, String settings) throws IOException {
    Path file = Files.writeString(folder.resolve(name + ".json"), settings);
    Path java = Path.of(System.getProperty("java.home"), "bin", "java");
    processes.put(
        name,
        new ProcessBuilder(
                java.toString(),
                "-Xmx64m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                NodeMain.class.getName(),
                "--settings",
                file.toString())
            .redirectErrorStream(true)
            .redirectOutput(folder.resolve(name + ".log").toFile())
            .start());
  }

  HttpResponse<String> call(String entry, String method, String path, String key)
      throws IOException, InterruptedException {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + callerAddress(entry) + path))
            .header("Host", "h.example")
            .header("X-Attempt-Id", UUID.randomUUID().toString())
            .header("X-Deadline-Ms", "5000")
            .method(
                method,
                method.equals("GET")
                    ? HttpRequest.BodyPublishers.noBody()
                    : HttpRequest.BodyPublishers.ofString("the body"));
    if (!key.isEmpty()) {
      request.header("X-Api-Key", key);
    }
    return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  /** Returns what a process has logged. */
  String logOf(String name) throws IOException {
    return Files.readString(folder.resolve(name + ".log"));
  }

  /** Sends SIGHUP. */
  void hangUp(String name) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-HUP", Long.toString(processes.get(name).pid())).start().waitFor();
  }

  /** Asks an entry which addresses to use. */
  String resolve(String entry) throws IOException, InterruptedException {
    URI page =
        URI.create(
            "http://"
                + addresses.get(entry).get("directoryAddress")
                + "/ibishub/resolution?name=h.example&region=r&zone=z1");
    return client
        .send(HttpRequest.newBuilder(page).build(), HttpResponse.BodyHandlers.ofString())
        .body();
  }

  int readiness(String entry) throws IOException, InterruptedException {
    URI page =
        URI.create("http://" + addresses.get(entry).get("readinessAddress") + "/ibishub/readiness");
    return client
        .send(HttpRequest.newBuilder(page).build(), HttpResponse.BodyHandlers.ofString())
        .statusCode();
  }

  /** Waits until something holds; what throws does not hold yet. */
  void await(String what, Callable<Boolean> condition) throws InterruptedException {
    Instant until = Instant.now().plus(PATIENCE);
    while (!holds(condition)) {
      assertThat(Instant.now()).as("%s, logs in %s", what, folder).isBefore(until);
      Thread.sleep(50);
    }
  }

  private static boolean holds(Callable<Boolean> condition) throws InterruptedException {
    try {
      return condition.call();
    } catch (InterruptedException e) {
      throw e;
    } catch (Exception e) {
      return false;
    }
  }

  static int freePort(String host) throws IOException {
    try (ServerSocket socket = new ServerSocket()) {
      socket.bind(new InetSocketAddress(host, 0));
      return socket.getLocalPort();
    }
  }

  @Override
  public void close() {
    processes.values().forEach(Process::destroyForcibly);
    targets.forEach(TargetStandIn::close);
    store.close();
  }
}
