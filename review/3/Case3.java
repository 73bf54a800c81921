import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Many callers send bodies within max_body_bytes at once; the others wait for their answers. */
public final class Case3 {
  private static final String HOST = "panel.example";
  private static final int ENTRIES = 6;

  /** Together 153 clients: 1.7 times the 90 of the site. */
  private static final int SENDERS = 120;

  private static final int READERS = 33;

  /** Less than half of max_body_bytes. */
  private static final int BODY_BYTES = 2_000_000;

  private static final int USUAL_BODY_BYTES = 600;

  /** Each sender's link takes 400 kB a second. */
  private static final int PIECE_BYTES = 40_000;

  private static final long PIECE_MILLIS = 100;
  private static final long PLAY_MILLIS = 20_000;
  private static final int TIMEOUT_MILLIS = 1_500;
  private static final int LATE_MILLIS = 500;
  private static final int SENDER_TIMEOUT_MILLIS = 8_000;
  private static final long READER_PAUSE_MILLIS = 40;

  /** How long a reader waits before its request counts as never answered, milliseconds. */
  private static final int NEVER_MILLIS = 15_000;

  private final Kit.Record record;
  private final AtomicInteger bodies = new AtomicInteger();
  private final AtomicInteger closedBodies = new AtomicInteger();
  private final AtomicInteger otherBodies = new AtomicInteger();
  private final AtomicInteger reads = new AtomicInteger();
  private final AtomicInteger answeredReads = new AtomicInteger();
  private final AtomicInteger overdue = new AtomicInteger();
  private final AtomicInteger unanswered = new AtomicInteger();
  private final AtomicInteger never = new AtomicInteger();

  private Case3(Kit.Record record) {
    this.record = record;
  }

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
    store.answerMillis = 4;
    for (int number = 1; number <= 3; number++) {
      String id = "i-" + number;
      Kit.Replica replica =
          new Kit.Replica(
              id, "127.0.23." + number, (request, out, channel) -> answer(request, out, id));
      store.put("keyed.servers", id, replica.announcement("panel-app", "ready", 6, 1));
    }
    store.put("keyed.op", "config", configuration());
    List<String> seeds = List.of("127.0.13.1:" + site.linkPort);
    List<Map<String, Object>> entries = new ArrayList<>();
    for (int number = 1; number <= ENTRIES; number++) {
      entries.add(
          site.startEntry("edge-" + number, "127.0.13." + number, store.address(), seeds));
    }
    Kit.awaitReady(entries, 20_000);
    Thread.sleep(4_000);
    long until = System.currentTimeMillis() + PLAY_MILLIS;
    List<Thread> clients = new ArrayList<>();
    for (int number = 0; number < SENDERS; number++) {
      InetSocketAddress entry = Kit.listening(entries.get(number % ENTRIES), "frontend");
      clients.add(Kit.daemon(() -> sendBodies(entry, until)));
    }
    for (int number = 0; number < READERS; number++) {
      InetSocketAddress entry = Kit.listening(entries.get(number % ENTRIES), "frontend");
      clients.add(Kit.daemon(() -> read(entry, until)));
    }
    clients.forEach(Thread::start);
    for (Thread client : clients) {
      client.join(40_000);
    }
    record.say(
        "bodies: %d answered with 200, %d channels closed without an answer, %d other",
        bodies.get(), closedBodies.get(), otherBodies.get());
    record.say(
        "reads: %d, %d answered with 200; %d had no answer at their route's timeout_ms, %d of these"
            + " none %d ms later, %d none within %d ms",
        reads.get(),
        answeredReads.get(),
        overdue.get(),
        unanswered.get(),
        LATE_MILLIS,
        never.get(),
        NEVER_MILLIS);
    if (reads.get() < 300) {
      record.say("could not run: too few reads");
      return Kit.NOT_RUN;
    }
    boolean isBroken = unanswered.get() >= 8 && unanswered.get() * 2 > overdue.get();
    record.say(isBroken ? "CONFIG is broken" : "CONFIG held");
    return isBroken ? Kit.BROKEN : Kit.HELD;
  }

  private void sendBodies(InetSocketAddress entry, long until) {
    byte[] body = new byte[Kit.isTrouble() ? BODY_BYTES : USUAL_BODY_BYTES];
    Arrays.fill(body, (byte) 'a');
    while (System.currentTimeMillis() < until) {
      String attemptId = Kit.newAttemptId();
      record.line("send %s to %s with a body of %d bytes", attemptId, entry, body.length);
      try (Socket socket = new Socket()) {
        socket.connect(entry, 1_000);
        socket.setSoTimeout(SENDER_TIMEOUT_MILLIS + 1_000);
        OutputStream out = socket.getOutputStream();
        out.write(
            Kit.head(
                "POST",
                "/survey/a",
                Kit.requestHeaders(HOST, attemptId, SENDER_TIMEOUT_MILLIS),
                body.length));
        for (int at = 0; at < body.length; at += PIECE_BYTES) {
          out.write(body, at, Math.min(PIECE_BYTES, body.length - at));
          Thread.sleep(PIECE_MILLIS);
        }
        Kit.Answer answer = Kit.readAnswer(new BufferedInputStream(socket.getInputStream()));
        record.line("answer %s: status %d %s", attemptId, answer.status, answer.end);
        if (answer.status == 200) {
          bodies.incrementAndGet();
        } else {
          (answer.status == 0 ? closedBodies : otherBodies).incrementAndGet();
        }
      } catch (IOException e) {
        record.line("answer %s: none, %s", attemptId, e);
        closedBodies.incrementAndGet();
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void read(InetSocketAddress entry, long until) {
    while (System.currentTimeMillis() < until) {
      String attemptId = Kit.newAttemptId();
      record.line("send %s to %s", attemptId, entry);
      reads.incrementAndGet();
      long sentAt = System.nanoTime();
      String result;
      try {
        Kit.Answer answer =
            Kit.call(
                entry,
                "GET",
                "/points/a",
                Kit.requestHeaders(HOST, attemptId, TIMEOUT_MILLIS),
                new byte[0],
                NEVER_MILLIS);
        answeredReads.addAndGet(answer.status == 200 ? 1 : 0);
        result = "status " + answer.status + " " + answer.end;
      } catch (SocketTimeoutException e) {
        never.incrementAndGet();
        result = "none, " + e;
      } catch (IOException e) {
        result = "none, " + e;
      }
      long millis = (System.nanoTime() - sentAt) / 1_000_000;
      record.line("answer %s: %s after %d ms", attemptId, result, millis);
      overdue.addAndGet(millis > TIMEOUT_MILLIS ? 1 : 0);
      unanswered.addAndGet(millis > TIMEOUT_MILLIS + LATE_MILLIS ? 1 : 0);
      try {
        Thread.sleep(READER_PAUSE_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private boolean answer(Kit.Request request, OutputStream out, String id) throws IOException {
    record.line("run %s at %s", request.attemptId(), id);
    try {
      Thread.sleep(60);
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
    byte[] body = "done".getBytes(StandardCharsets.UTF_8);
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

  private static String configuration() {
    return """
        {"version":3,"routes":[
          {"name":"survey","host":"panel.example","path_prefix":"/survey/",
           "kind":"non_idempotent","timeout_ms":8000,"target_latency_ms":387,"priority":2,
           "service":"panel-app","max_attempts":1,"public":true},
          {"name":"points","host":"panel.example","path_prefix":"/points/","kind":"idempotent",
           "timeout_ms":1500,"target_latency_ms":386,"priority":2,"service":"panel-app",
           "max_attempts":2,"public":true}],
         "services":[{"name":"panel-app","health_path":"/health","max_connections":100}],
         "tenants":[{"name":"t1","api_keys":["k1"]}],
         "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
          "header_timeout_ms":3000,"idle_timeout_ms":15000}}
        """;
  }
}
