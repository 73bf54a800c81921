import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** The platform's store: keyed topics with one partition each, as PROTOCOL.md describes them. */
final class Store implements AutoCloseable {
  private static final class Entry {
    final String key;
    final byte[] value;

    Entry(String key, byte[] value) {
      this.key = key;
      this.value = value;
    }
  }

  private final Map<String, List<Entry>> topics = new HashMap<>();
  private final HttpServer server;
  volatile boolean down;

  Store(String host) throws IOException {
    server = HttpServer.create(new InetSocketAddress(host, 0), 0);
    server.setExecutor(
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task);
              thread.setDaemon(true);
              return thread;
            }));
    server.createContext("/ibishub/", this::handle);
    server.start();
  }

  String address() {
    return server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort();
  }

  synchronized void put(String topic, String key, String value) {
    topics
        .computeIfAbsent(topic, any -> new ArrayList<>())
        .add(new Entry(key, value.getBytes(StandardCharsets.UTF_8)));
    notifyAll();
  }

  private void handle(HttpExchange exchange) throws IOException {
    byte[] body = exchange.getRequestBody().readAllBytes();
    Map<String, String> query = new HashMap<>();
    for (String pair : String.valueOf(exchange.getRequestURI().getQuery()).split("&")) {
      String[] parts = pair.split("=", 2);
      query.put(parts[0], parts.length > 1 ? parts[1] : "");
    }
    if (down) {
      exchange.sendResponseHeaders(503, -1);
      exchange.close();
      return;
    }
    String path = exchange.getRequestURI().getPath();
    try {
      if (path.endsWith("/log-read")) {
        read(exchange, query);
      } else if (path.endsWith("/log-newest")) {
        answer(exchange, 200, newest(query).getBytes(StandardCharsets.UTF_8));
      } else if (path.endsWith("/log-append")) {
        answer(exchange, 200, append(query, body).getBytes(StandardCharsets.UTF_8));
      } else {
        exchange.sendResponseHeaders(404, -1);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    exchange.close();
  }

  private static void answer(HttpExchange exchange, int status, byte[] body) throws IOException {
    exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
    exchange.getResponseBody().write(body);
  }

  private void read(HttpExchange exchange, Map<String, String> query)
      throws IOException, InterruptedException {
    int from = Integer.parseInt(query.get("from"));
    long deadline =
        System.currentTimeMillis() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    synchronized (this) {
      List<Entry> entries = topics.computeIfAbsent(query.get("topic"), any -> new ArrayList<>());
      while (entries.size() <= from && System.currentTimeMillis() < deadline) {
        wait(Math.max(1, deadline - System.currentTimeMillis()));
      }
      DataOutputStream out = new DataOutputStream(bytes);
      out.writeLong(entries.size());
      out.writeLong(0);
      for (int at = from; at < entries.size(); at++) {
        byte[] key = entries.get(at).key.getBytes(StandardCharsets.UTF_8);
        out.writeInt(1 + key.length + entries.get(at).value.length);
        out.writeByte(key.length);
        out.write(key);
        out.write(entries.get(at).value);
      }
    }
    answer(exchange, 200, bytes.toByteArray());
  }

  private synchronized String newest(Map<String, String> query) {
    List<Entry> entries = topics.getOrDefault(query.get("topic"), List.of());
    TreeMap<String, Integer> last = new TreeMap<>();
    for (int at = 0; at < entries.size(); at++) {
      last.put(entries.get(at).key, at);
    }
    StringBuilder items = new StringBuilder();
    last.tailMap(query.getOrDefault("after", ""), false)
        .forEach(
            (key, at) -> {
              if (entries.get(at).value.length > 0) {
                items
                    .append(items.length() == 0 ? "" : ",")
                    .append("{\"key\":\"")
                    .append(key)
                    .append("\",\"value\":\"")
                    .append(Base64.getEncoder().encodeToString(entries.get(at).value))
                    .append("\",\"offset\":")
                    .append(at)
                    .append('}');
              }
            });
    return "{\"items\":[" + items + "],\"has_more\":false,\"end\":" + entries.size() + "}";
  }

  private synchronized String append(Map<String, String> query, byte[] body) {
    List<Entry> entries = topics.computeIfAbsent(query.get("topic"), any -> new ArrayList<>());
    int offset = entries.size();
    ByteBuffer left = ByteBuffer.wrap(body);
    while (left.hasRemaining()) {
      byte[] record = new byte[left.getInt()];
      left.get(record);
      int length = Byte.toUnsignedInt(record[0]);
      byte[] value = new byte[record.length - 1 - length];
      System.arraycopy(record, 1 + length, value, 0, value.length);
      entries.add(new Entry(new String(record, 1, length, StandardCharsets.UTF_8), value));
    }
    notifyAll();
    return "{\"offset\":" + offset + ",\"end\":" + entries.size() + "}";
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
