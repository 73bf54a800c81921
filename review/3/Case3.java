import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A version raises the limit of headers; clients then use it on channels that they kept open. */
public final class Case3 {
  private static final String HOST = "coding.example";
  private static final int CLIENTS = 40;
  private static final int SMALL_LIMIT = 8_192;
  private static final int LARGE_LIMIT = 32_768;

  /** Size of the header X-Prompt-Prefix of the later requests, bytes. */
  private static final int PREFIX_BYTES = 12_000;

  /** config_apply_ms, and a second. */
  private static final long APPLY_MILLIS = 3_000;

  private final Kit.Record record;
  private int served;
  private int denied;
  private int other;

  private Case3(Kit.Record record) {
    this.record = record;
  }

  /** A client's channel. */
  private record Channel(Socket socket, InputStream in) {}

  public static void main(String[] arguments) throws Exception {
    Path folder = Path.of(arguments[0]);
    int result = Kit.NOT_RUN;
    try (Kit.Record record = new Kit.Record(folder.resolve("record.txt"))) {
      try (Kit.Site site = new Kit.Site(record)) {
        result = new Case3(record).run(site);
      } catch (Exception e) {
        record.say("could not run: %s", e);
      }
    }
    System.exit(result);
  }

  private int run(Kit.Site site) throws Exception {
    Kit.Store store = new Kit.Store(500);
    for (int number = 1; number <= 3; number++) {
      String id = "i-" + number;
      Kit.Replica replica =
          new Kit.Replica(
              id, "127.0.23." + number, (request, out, channel) -> answer(request, out, id));
      store.put("keyed.servers", id, replica.announcement("panel-app", "ready", 6, 1));
    }
    store.put("keyed.op", "config", configuration(3, Kit.isTrouble() ? SMALL_LIMIT : LARGE_LIMIT));
    List<String> seeds = List.of("127.0.13.1:" + site.linkPort);
    List<Map<String, Object>> entries =
        List.of(
            site.startEntry("edge-1", "127.0.13.1", store.address(), seeds),
            site.startEntry("edge-2", "127.0.13.2", store.address(), seeds));
    Kit.awaitReady(entries, 20_000);
    Thread.sleep(4_000);

    List<Channel> channels = new ArrayList<>();
    for (int number = 0; number < CLIENTS; number++) {
      InetSocketAddress entry = Kit.listening(entries.get(number % entries.size()), "frontend");
      Socket socket = new Socket();
      socket.connect(entry, 1_000);
      socket.setSoTimeout(5_000);
      channels.add(new Channel(socket, new BufferedInputStream(socket.getInputStream())));
    }
    for (Channel channel : channels) {
      send(channel, 200);
    }
    if (denied + other > 0) {
      record.say("could not run: the first requests were not served");
      return Kit.NOT_RUN;
    }
    if (Kit.isTrouble()) {
      store.put("keyed.op", "config", configuration(8, LARGE_LIMIT));
      record.line("version 8 acknowledged: max_header_bytes %d", LARGE_LIMIT);
    }
    Thread.sleep(APPLY_MILLIS);
    for (Channel channel : channels) {
      send(channel, PREFIX_BYTES);
    }
    int fresh = 0;
    for (Map<String, Object> entry : entries) {
      Socket socket = new Socket();
      socket.connect(Kit.listening(entry, "frontend"), 1_000);
      fresh +=
          send(new Channel(socket, new BufferedInputStream(socket.getInputStream())), PREFIX_BYTES)
              ? 1
              : 0;
    }
    int all = served + denied + other;
    record.say(
        "%d requests: %d served, %d denied with a 4xx, %d other; %d of %d on new channels served",
        all, served, denied, other, fresh, entries.size());
    if (fresh < entries.size()) {
      record.say("could not run: the limit is not in force on new channels either");
      return Kit.NOT_RUN;
    }
    boolean isBroken = denied > 5 + all / 500.0;
    record.say(isBroken ? "DENIED is broken" : "DENIED held");
    return isBroken ? Kit.BROKEN : Kit.HELD;
  }

  /** Sends a request on a channel; returns whether it was served. */
  private boolean send(Channel channel, int prefixBytes) {
    String attemptId = Kit.newAttemptId();
    Map<String, String> headers = Kit.requestHeaders(HOST, attemptId, 1_500);
    StringBuilder prefix = new StringBuilder("5c1e07a2:800");
    for (int part = 1; prefix.length() < prefixBytes - 20; part++) {
      prefix.append(",%08x:%d".formatted(part * 0x9e3779b1, 40 + part % 900));
    }
    headers.put("X-Prompt-Prefix", prefix.toString());
    record.line("send %s with %d bytes of X-Prompt-Prefix", attemptId, prefix.length());
    try {
      channel
          .socket()
          .getOutputStream()
          .write(Kit.head("GET", "/points/a", headers, 0));
      Kit.Answer answer = Kit.readAnswer(channel.in());
      record.line(
          "answer %s: status %d, stamp %s %s",
          attemptId, answer.status, answer.headers.get("X-Server-Stamp"), answer.end);
      boolean isOwn = !answer.headers.containsKey("X-Server-Stamp");
      if (answer.status == 200 && answer.isComplete) {
        served++;
        return true;
      }
      if (isOwn && answer.status >= 300 && answer.status < 500) {
        denied++;
      } else {
        other++;
      }
    } catch (IOException e) {
      record.line("answer %s: none, %s", attemptId, e);
      other++;
    }
    return false;
  }

  private boolean answer(Kit.Request request, OutputStream out, String id) throws IOException {
    record.line("run %s at %s", request.attemptId(), id);
    byte[] body = "points".getBytes(StandardCharsets.UTF_8);
    out.write(
        ("HTTP/1.1 200 OK\r\nX-Attempt-Id: "
                + request.attemptId()
                + "\r\nX-Server-Stamp: stamp-"
                + id
                + "\r\nContent-Length: "
                + body.length
                + "\r\n\r\n")
            .getBytes(StandardCharsets.ISO_8859_1));
    out.write(body);
    out.flush();
    return true;
  }

  private static String configuration(int version, int headerBytes) {
    return """
        {"version":%d,"routes":[
          {"name":"points","host":"coding.example","path_prefix":"/points/","kind":"idempotent",
           "timeout_ms":1500,"target_latency_ms":386,"priority":2,"service":"panel-app",
           "max_attempts":2,"public":true}],
         "services":[{"name":"panel-app","health_path":"/health","max_connections":48}],
         "tenants":[{"name":"t1","api_keys":["k1"]}],
         "limits":{"max_header_bytes":%d,"max_body_bytes":4194304,
          "header_timeout_ms":3000,"idle_timeout_ms":15000}}
        """
        .formatted(version, headerBytes);
  }
}
