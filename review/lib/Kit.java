import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.BufferedInputStream;
import java.io.BufferedWriter;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * What the scripts of this review share: the project's programs as processes, started with the
 * commands and templates of the deploy file, and stand-ins for the store, the replicas and the
 * clients. Plain JDK, loopback addresses only.
 */
final class Kit {
  private Kit() {}

  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int NOT_RUN = 2;

  /** Whether the disruption is played. */
  static boolean isTrouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  // ---------------------------------------------------------------- record

  /** The file record.txt of a case: one line for each thing that was sent, answered or run. */
  static final class Record implements AutoCloseable {
    private final BufferedWriter out;
    private final long startedAt = System.nanoTime();

    Record(Path file) throws IOException {
      out = Files.newBufferedWriter(file);
    }

    synchronized void line(String format, Object... values) {
      try {
        long millis = (System.nanoTime() - startedAt) / 1_000_000;
        out.write(String.format(Locale.ROOT, "%7d ", millis));
        out.write(values.length == 0 ? format : String.format(Locale.ROOT, format, values));
        out.write('\n');
        out.flush();
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
    }

    /** Writes a line to the record and to standard output. */
    void say(String format, Object... values) {
      String text = values.length == 0 ? format : String.format(Locale.ROOT, format, values);
      line("%s", text);
      System.out.println(text);
    }

    @Override
    public synchronized void close() throws IOException {
      out.close();
    }
  }

  // ---------------------------------------------------------------- processes

  /** The settings fields of one machine, as DEPLOY.md lists them, with the bounds of the site. */
  static Map<String, Object> fields(String node, String zone, String ip, String storeAddress) {
    Map<String, Object> fields = new HashMap<>();
    fields.put("node_name", node);
    fields.put("zone", zone);
    fields.put("ip", ip);
    fields.put("initial_bootstrap", true);
    Map<String, Object> bounds = new HashMap<>();
    bounds.put("drain_ms", 3000);
    bounds.put("grace_s", 8);
    bounds.put("config_apply_ms", 3000);
    bounds.put("retry_budget_ratio", 0.2);
    bounds.put("retry_budget_slack", 208);
    bounds.put("budget_window_s", 10);
    bounds.put("ttl_max_s", 5);
    bounds.put("cold_overrun", 1.5);
    bounds.put("cold_slack", 5);
    fields.put("bounds", bounds);
    Map<String, Object> platform = new HashMap<>();
    platform.put("address", storeAddress);
    platform.put("reads_per_s", 6000);
    fields.put("platform", platform);
    return fields;
  }

  /** The project's processes of one case. All of them are killed when this JVM ends. */
  static final class Site implements AutoCloseable {
    final Path root = Path.of("").toAbsolutePath();
    final Path folder;
    final Record record;
    private final Map<String, Process> processes = new LinkedHashMap<>();
    private final Map<String, Map<String, Object>> fieldsByNode = new HashMap<>();
    private final Set<Integer> taken = new HashSet<>();
    final int linkPort;

    Site(Record record) throws IOException {
      this.record = record;
      folder = Files.createTempDirectory("review");
      linkPort = freePort();
      Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
    }

    /**
     * Returns a port that is free on all of the loopback addresses. It is below the ports that the
     * system gives to clients, so that a process that restarts can have it again.
     */
    synchronized int freePort() throws IOException {
      while (true) {
        int port = 20_000 + ThreadLocalRandom.current().nextInt(10_000);
        try (ServerSocket socket = new ServerSocket()) {
          socket.bind(new InetSocketAddress("0.0.0.0", port));
          if (taken.add(port)) {
            return port;
          }
        } catch (BindException e) {
          // Taken; the next one may be free.
        }
      }
    }

    /** Starts an entry; its addresses are those in the returned fields. */
    Map<String, Object> startEntry(String node, String ip, String storeAddress, List<String> seeds)
        throws IOException {
      Map<String, Object> fields = fields(node, "z1", ip, storeAddress);
      fields.put("seed_nodes", seeds);
      fields.put("internal_port_range", List.of(linkPort, linkPort));
      Map<String, Object> listen = new HashMap<>();
      for (String name : List.of("frontend", "readiness", "directory")) {
        listen.put(name, ip + ":" + freePort());
      }
      fields.put("listen_addresses", listen);
      start(node, "entry", fields);
      return fields;
    }

    void startAgent(String node, String ip, String appAddress) throws IOException {
      Map<String, Object> fields = fields(node, "z1", ip, "");
      fields.put("internal_port_range", List.of(linkPort, linkPort));
      fields.put("app", appAddress);
      start(node, "agent", fields);
    }

    /** Starts a process of a role again, with the same settings but for the first start. */
    void restart(String node, String role) throws IOException {
      Map<String, Object> fields = fieldsByNode.get(node);
      fields.put("initial_bootstrap", false);
      start(node, role, fields);
    }

    private void start(String node, String role, Map<String, Object> fields) throws IOException {
      fieldsByNode.put(node, fields);
      String template = deployed(role, "template");
      Path settings = folder.resolve(node + ".json");
      Path next = folder.resolve(node + ".new");
      Files.writeString(next, fill(Files.readString(root.resolve(template)), fields));
      Files.move(next, settings, StandardCopyOption.ATOMIC_MOVE);
      ProcessBuilder builder = new ProcessBuilder(deployed(role, "run").split(" "));
      builder.directory(root.toFile());
      Map<String, String> environment = builder.environment();
      Map<String, String> kept = new HashMap<>();
      for (String name : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
        if (environment.get(name) != null) {
          kept.put(name, environment.get(name));
        }
      }
      environment.clear();
      environment.putAll(kept);
      environment.put("IBISHUB_NODE_FILE", settings.toString());
      File log = folder.resolve(node + ".log").toFile();
      builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
      Process process = builder.start();
      synchronized (this) {
        processes.put(node, process);
      }
      record.line("started %s as %s, pid %d", node, role, process.pid());
    }

    private String deployed(String role, String key) throws IOException {
      boolean isInRole = false;
      for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
        if (line.startsWith("[")) {
          isInRole = line.equals("[roles." + role + "]");
        } else if (isInRole && line.startsWith(key + " = \"")) {
          return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        }
      }
      throw new IOException("deploy/system.toml has no " + key + " of role " + role);
    }

    Process process(String node) {
      return processes.get(node);
    }

    String log(String node) throws IOException {
      return Files.readString(folder.resolve(node + ".log"));
    }

    /** Sends a signal to a process of this site. */
    void signal(String node, String signal) throws IOException, InterruptedException {
      long pid = processes.get(node).pid();
      record.line("SIG%s to %s, pid %d", signal, node, pid);
      new ProcessBuilder("kill", "-" + signal, Long.toString(pid)).start().waitFor();
    }

    synchronized void endAll() {
      processes.values().forEach(Process::destroyForcibly);
      processes
          .values()
          .forEach(
              process -> {
                try {
                  process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                  Thread.currentThread().interrupt();
                }
              });
    }

    /** Ends all processes and removes the folder with their settings and logs. */
    @Override
    public void close() throws IOException {
      endAll();
      if (System.getenv("KEEP") != null) {
        System.out.println("logs are in " + folder);
        return;
      }
      try (Stream<Path> files = Files.list(folder)) {
        for (Path file : files.toList()) {
          Files.delete(file);
        }
      }
      Files.delete(folder);
    }
  }

  /** Fills in a template by the rules of DEPLOY.md, as far as the project's templates use them. */
  static String fill(String template, Map<String, Object> fields) {
    String text = template;
    Matcher section =
        Pattern.compile("\\{\\{([#^])([\\w.]+)}}(.*?)\\{\\{/\\2}}", Pattern.DOTALL).matcher(text);
    StringBuilder filled = new StringBuilder();
    while (section.find()) {
      Object value = lookUp(section.group(2), fields);
      String body = section.group(3);
      boolean isThere = value != null && !Boolean.FALSE.equals(value);
      StringBuilder content = new StringBuilder();
      if (section.group(1).equals("^")) {
        content.append(isThere ? "" : body);
      } else if (value instanceof List<?> list) {
        for (int i = 0; i < list.size(); i++) {
          content.append(
              body.replace("{{.}}", list.get(i).toString())
                  .replace("{{,}}", i < list.size() - 1 ? "," : ""));
        }
      } else if (isThere) {
        content.append(body);
      }
      section.appendReplacement(filled, Matcher.quoteReplacement(content.toString()));
    }
    section.appendTail(filled);
    Matcher name = Pattern.compile("\\{\\{([\\w.]+)}}").matcher(filled.toString());
    StringBuilder result = new StringBuilder();
    while (name.find()) {
      Object value = lookUp(name.group(1), fields);
      name.appendReplacement(
          result, Matcher.quoteReplacement(value == null ? "" : value.toString()));
    }
    name.appendTail(result);
    return result.toString();
  }

  private static Object lookUp(String path, Object from) {
    Object value = from;
    for (String name : path.split("\\.")) {
      if (value instanceof Map<?, ?> map) {
        value = map.get(name);
      } else if (value instanceof List<?> list) {
        value = list.get(Integer.parseInt(name));
      } else {
        return null;
      }
    }
    return value;
  }

  @SuppressWarnings("unchecked")
  static InetSocketAddress listening(Map<String, Object> fields, String name) {
    return address(((Map<String, Object>) fields.get("listen_addresses")).get(name).toString());
  }

  static InetSocketAddress address(String text) {
    int colon = text.lastIndexOf(':');
    return new InetSocketAddress(
        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  /** Whether a machine answers 200 to the platform's question. */
  static boolean isReady(Map<String, Object> fields) {
    try {
      Answer answer =
          call(
              listening(fields, "readiness"),
              "GET",
              "/ibishub/readiness",
              Map.of("Host", "platform"),
              new byte[0],
              1_000);
      return answer.status == 200;
    } catch (IOException e) {
      return false;
    }
  }

  static void awaitReady(Collection<Map<String, Object>> entries, long millis)
      throws InterruptedException {
    long deadline = System.currentTimeMillis() + millis;
    while (!entries.stream().allMatch(Kit::isReady)) {
      if (System.currentTimeMillis() > deadline) {
        throw new IllegalStateException("the entries were not ready in time");
      }
      Thread.sleep(100);
    }
  }

  // ---------------------------------------------------------------- store

  /** A stand-in for the platform's store: keyed topics with one partition, after PROTOCOL.md. */
  static final class Store implements AutoCloseable {
    private record Stored(String key, byte[] value) {}

    private final Map<String, List<Stored>> topics = new HashMap<>();
    private final HttpServer server;
    private final int pageSize;

    /** Time that each answer takes, milliseconds. */
    volatile long answerMillis;

    /** Where pages of the newest records are noted, if at all. */
    volatile Record record;

    /** When the last first page of a topic was asked for, milliseconds of the wall clock. */
    final Map<String, Long> firstPageAt = new ConcurrentHashMap<>();


    Store(int pageSize) throws IOException {
      this.pageSize = pageSize;
      server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
      server.setExecutor(Executors.newCachedThreadPool(Kit::daemon));
      server.createContext("/ibishub/log-read", exchange -> serve(exchange, this::read));
      server.createContext("/ibishub/log-newest", exchange -> serve(exchange, this::newest));
      server.createContext("/ibishub/log-append", exchange -> serve(exchange, this::append));
      server.start();
    }

    String address() {
      return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Appends a record; an empty value drops the key. Its return is the acknowledgement. */
    synchronized void put(String topic, String key, String value) {
      topics
          .computeIfAbsent(topic, any -> new ArrayList<>())
          .add(new Stored(key, value.getBytes(StandardCharsets.UTF_8)));
      notifyAll();
    }

    private interface Handler {
      byte[] handle(HttpExchange exchange, Map<String, String> query) throws Exception;
    }

    private void serve(HttpExchange exchange, Handler handler) throws IOException {
      Map<String, String> query = new HashMap<>();
      String raw = exchange.getRequestURI().getRawQuery();
      for (String pair : raw == null ? new String[0] : raw.split("&")) {
        int equals = pair.indexOf('=');
        query.put(
            pair.substring(0, equals),
            URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
      }
      try {
        byte[] body = handler.handle(exchange, query);
        Thread.sleep(answerMillis);
        exchange.sendResponseHeaders(200, body.length == 0 ? -1 : body.length);
        exchange.getResponseBody().write(body);
      } catch (Exception e) {
        exchange.sendResponseHeaders(400, -1);
      } finally {
        exchange.close();
      }
    }

    private synchronized byte[] read(HttpExchange exchange, Map<String, String> query)
        throws Exception {
      String topic = query.get("topic");
      int from = Integer.parseInt(query.get("from"));
      long until =
          System.currentTimeMillis() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
      while (records(topic).size() <= from && System.currentTimeMillis() < until) {
        wait(Math.max(1, until - System.currentTimeMillis()));
      }
      List<Stored> records = records(topic);
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      DataOutputStream out = new DataOutputStream(bytes);
      out.writeLong(records.size());
      out.writeLong(0);
      for (Stored each : records.subList(Math.min(from, records.size()), records.size())) {
        byte[] key = each.key().getBytes(StandardCharsets.UTF_8);
        out.writeInt(1 + key.length + each.value().length);
        out.writeByte(key.length);
        out.write(key);
        out.write(each.value());
      }
      return bytes.toByteArray();
    }

    private byte[] newest(HttpExchange exchange, Map<String, String> query) {
      String topic = query.get("topic");
      String after = query.getOrDefault("after", "");
      if (after.isEmpty()) {
        firstPageAt.put(topic, System.currentTimeMillis());
      }
      StringBuilder items = new StringBuilder();
      boolean hasMore = false;
      long end;
      synchronized (this) {
        List<Stored> records = records(topic);
        end = records.size();
        TreeMap<String, Integer> newest = new TreeMap<>();
        for (int offset = 0; offset < records.size(); offset++) {
          newest.put(records.get(offset).key(), offset);
        }
        newest.values().removeIf(offset -> records.get(offset).value().length == 0);
        int count = 0;
        for (Map.Entry<String, Integer> each : newest.tailMap(after, false).entrySet()) {
          if (count == pageSize) {
            hasMore = true;
            break;
          }
          count++;
          items
              .append(items.length() == 0 ? "" : ",")
              .append("{\"key\":\"" + each.getKey() + "\",\"value\":\"")
              .append(Base64.getEncoder().encodeToString(records.get(each.getValue()).value()))
              .append("\",\"offset\":" + each.getValue() + "}");
        }
      }
      if (record != null) {
        record.line("page of %s after '%s', end %d, more %s", topic, after, end, hasMore);
      }
      return ("{\"items\":[" + items + "],\"has_more\":" + hasMore + ",\"end\":" + end + "}")
          .getBytes(StandardCharsets.UTF_8);
    }

    private byte[] append(HttpExchange exchange, Map<String, String> query) throws Exception {
      ByteBuffer body = ByteBuffer.wrap(exchange.getRequestBody().readAllBytes());
      synchronized (this) {
        List<Stored> records =
            topics.computeIfAbsent(query.get("topic"), any -> new ArrayList<>());
        int offset = records.size();
        while (body.hasRemaining()) {
          byte[] record = new byte[body.getInt()];
          body.get(record);
          int keyLength = record[0];
          byte[] value = new byte[record.length - 1 - keyLength];
          System.arraycopy(record, 1 + keyLength, value, 0, value.length);
          records.add(
              new Stored(new String(record, 1, keyLength, StandardCharsets.UTF_8), value));
        }
        notifyAll();
        return ("{\"offset\":" + offset + ",\"end\":" + records.size() + "}")
            .getBytes(StandardCharsets.UTF_8);
      }
    }

    private List<Stored> records(String topic) {
      return topics.getOrDefault(topic, List.of());
    }

    @Override
    public void close() {
      server.stop(0);
    }
  }

  // ---------------------------------------------------------------- replicas

  /** A request as a replica read it. */
  static final class Request {
    String method;
    String path;
    final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    byte[] body = new byte[0];

    String attemptId() {
      return headers.getOrDefault("X-Attempt-Id", "");
    }
  }

  /** Answers one request of a replica. */
  interface Service {
    /** Returns whether the channel stays open. */
    boolean answer(Request request, OutputStream out, Socket channel) throws IOException;
  }

  /** A stand-in for a replica, on a port of its own. */
  static final class Replica implements AutoCloseable {
    final String id;
    final String ip;
    final ServerSocket server;
    private final Service service;
    private final Set<Socket> channels = ConcurrentHashMap.newKeySet();

    Replica(String id, String ip, Service service) throws IOException {
      this.id = id;
      this.ip = ip;
      this.service = service;
      server = new ServerSocket();
      server.bind(new InetSocketAddress(ip, 0), 512);
      daemon(this::accept).start();
    }

    String address() {
      return ip + ":" + server.getLocalPort();
    }

    String announcement(String service, String state, int slots, int sequence) {
      return ("{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"z1\",\"version\":\"1\","
              + "\"slots\":%d,\"state\":\"%s\",\"cold_remaining_ms\":0,\"sequence\":%d}")
          .formatted(service, address(), slots, state, sequence);
    }

    private void accept() {
      while (!server.isClosed()) {
        try {
          Socket channel = server.accept();
          channels.add(channel);
          daemon(() -> serve(channel)).start();
        } catch (IOException e) {
          return;
        }
      }
    }

    private void serve(Socket channel) {
      try (channel) {
        InputStream in = new BufferedInputStream(channel.getInputStream());
        OutputStream out = channel.getOutputStream();
        Request request = readRequest(in);
        while (request != null) {
          String expected = request.headers.get("X-Expect-Instance");
          if (expected != null && !expected.equals(id)) {
            out.write(
                "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                    .getBytes(StandardCharsets.ISO_8859_1));
          } else if (!service.answer(request, out, channel)) {
            return;
          }
          out.flush();
          request = readRequest(in);
        }
      } catch (IOException e) {
        // The caller closed the channel.
      } finally {
        channels.remove(channel);
      }
    }

    /** Ends the replica with what it runs, as the exit of its process does. */
    void exit() throws IOException {
      server.close();
      for (Socket channel : channels) {
        channel.close();
      }
    }

    @Override
    public void close() throws IOException {
      server.close();
    }
  }

  private static Request readRequest(InputStream in) throws IOException {
    String first = readLine(in);
    if (first == null) {
      return null;
    }
    Request request = new Request();
    String[] words = first.split(" ");
    request.method = words[0];
    request.path = words[1];
    readHeaders(in, request.headers);
    String length = request.headers.get("Content-Length");
    if (length != null) {
      request.body = in.readNBytes(Integer.parseInt(length));
      if (request.body.length < Integer.parseInt(length)) {
        return null;
      }
    }
    return request;
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int next = in.read();
    if (next < 0) {
      return null;
    }
    while (next >= 0 && next != '\n') {
      line.write(next);
      next = in.read();
    }
    if (next < 0) {
      throw new EOFException("the channel ended within a line");
    }
    return line.toString(StandardCharsets.ISO_8859_1).replaceAll("\r$", "");
  }

  private static void readHeaders(InputStream in, Map<String, String> headers) throws IOException {
    String line = readLine(in);
    while (line != null && !line.isEmpty()) {
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon).strip(), line.substring(colon + 1).strip());
      line = readLine(in);
    }
  }

  // ---------------------------------------------------------------- clients

  /** What a client saw of one answer. */
  static final class Answer {
    int status;
    final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    byte[] body = new byte[0];

    /** Whether the answer ended as its framing says. */
    boolean isComplete;

    /** How it ended, if not as its framing says. */
    String end = "";
  }

  /** Reads an answer. A timeout of the channel is passed on; another early end is noted. */
  static Answer readAnswer(InputStream in) throws IOException {
    Answer answer = new Answer();
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    try {
      String first = readLine(in);
      if (first == null) {
        answer.end = "closed before an answer";
        return answer;
      }
      answer.status = Integer.parseInt(first.split(" ")[1]);
      readHeaders(in, answer.headers);
      if ("chunked".equalsIgnoreCase(answer.headers.get("Transfer-Encoding"))) {
        while (true) {
          String size = readLine(in);
          if (size == null) {
            throw new EOFException("closed before the last chunk");
          }
          int length;
          try {
            length = Integer.parseInt(size.strip(), 16);
          } catch (NumberFormatException e) {
            throw new IOException("no chunk size: " + size);
          }
          byte[] chunk = in.readNBytes(length);
          body.write(chunk);
          if (chunk.length < length) {
            throw new EOFException("closed within a chunk");
          }
          readLine(in);
          if (length == 0) {
            break;
          }
        }
      } else {
        int length = Integer.parseInt(answer.headers.getOrDefault("Content-Length", "0"));
        byte[] all = in.readNBytes(length);
        body.write(all);
        if (all.length < length) {
          throw new EOFException("closed within the body");
        }
      }
      answer.isComplete = true;
    } catch (SocketTimeoutException e) {
      throw e;
    } catch (IOException e) {
      answer.end = String.valueOf(e.getMessage());
    }
    answer.body = body.toByteArray();
    return answer;
  }

  static byte[] head(String method, String path, Map<String, String> headers, int length) {
    StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
    headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
    if (length > 0 || method.equals("POST")) {
      head.append("Content-Length: " + length + "\r\n");
    }
    return head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
  }

  /** Sends one request on a new channel. */
  static Answer call(
      InetSocketAddress to,
      String method,
      String path,
      Map<String, String> headers,
      byte[] body,
      int timeoutMillis)
      throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(to, 1_000);
      socket.setSoTimeout(timeoutMillis);
      socket.setTcpNoDelay(true);
      OutputStream out = socket.getOutputStream();
      out.write(head(method, path, headers, body.length));
      out.write(body);
      out.flush();
      return readAnswer(new BufferedInputStream(socket.getInputStream()));
    }
  }

  /** The headers of a client's request. */
  static Map<String, String> requestHeaders(String host, String attemptId, long deadlineMillis) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Host", host);
    headers.put("X-Attempt-Id", attemptId);
    headers.put("X-Deadline-Ms", Long.toString(deadlineMillis));
    return headers;
  }

  static String newAttemptId() {
    return UUID.randomUUID().toString().replace("-", "").substring(0, 16);
  }

  static Thread daemon(Runnable work) {
    Thread thread = new Thread(work);
    thread.setDaemon(true);
    return thread;
  }
}
