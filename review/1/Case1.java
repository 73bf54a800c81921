import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Idempotent requests with answers of 400 kB, of which one replica breaks off a few. */
public final class Case1 {
  private static final String HOST = "reports.example";
  private static final int BODY_BYTES = 400_000;
  private static final int REQUESTS = 1_600;
  private static final int CLIENTS = 4;

  /** One of them is faulty: a share of 0.25. */
  private static final int REPLICAS = 4;

  /** One in this many answers of the faulty replica breaks off: 0.0167 of them. */
  private static final int BREAK_EVERY = 60;

  private static final byte[] BODY = body();

  public static void main(String[] arguments) throws Exception {
    Path folder = Path.of(arguments[0]);
    int result = Kit.NOT_RUN;
    try (Kit.Record record = new Kit.Record(folder.resolve("record.txt"))) {
      try (Kit.Site site = new Kit.Site(record)) {
        result = run(record, site);
      } catch (Exception e) {
        record.say("could not run: %s", e);
      }
    }
    System.exit(result);
  }

  private static byte[] body() {
    byte[] bytes = new byte[BODY_BYTES];
    Random random = new Random(1);
    for (int i = 0; i < bytes.length; i++) {
      bytes[i] = (byte) ('a' + random.nextInt(26));
    }
    return bytes;
  }

  private static int run(Kit.Record record, Kit.Site site) throws Exception {
    Kit.Store store = new Kit.Store(500);
    AtomicInteger ran = new AtomicInteger();
    AtomicInteger ranAtFaulty = new AtomicInteger();
    AtomicInteger brokenOff = new AtomicInteger();
    Kit.Replica faulty =
        new Kit.Replica(
            "i-faulty",
            "127.0.21.1",
            (request, out, channel) -> {
              boolean breaks =
                  Kit.isTrouble() && ranAtFaulty.incrementAndGet() % BREAK_EVERY == 0;
              ran.incrementAndGet();
              record.line("run %s at i-faulty%s", request.attemptId(), breaks ? " broken off" : "");
              brokenOff.addAndGet(breaks ? 1 : 0);
              return answer(request, out, "i-faulty", breaks ? BODY_BYTES * 3 / 4 : BODY_BYTES);
            });
    List<Kit.Replica> replicas = new ArrayList<>(List.of(faulty));
    for (int number = 2; number <= REPLICAS; number++) {
      String id = "i-sound-" + number;
      replicas.add(
          new Kit.Replica(
              id,
              "127.0.21." + number,
              (request, out, channel) -> {
                ran.incrementAndGet();
                record.line("run %s at %s", request.attemptId(), id);
                return answer(request, out, id, BODY_BYTES);
              }));
    }
    store.put("keyed.op", "config", configuration());
    for (Kit.Replica each : replicas) {
      store.put("keyed.servers", each.id, each.announcement("dispatch-api", "ready", 6, 1));
    }
    List<String> seeds = List.of("127.0.11.1:" + site.linkPort);
    List<Map<String, Object>> entries =
        List.of(
            site.startEntry("edge-1", "127.0.11.1", store.address(), seeds),
            site.startEntry("edge-2", "127.0.11.2", store.address(), seeds));
    Kit.awaitReady(entries, 20_000);
    Thread.sleep(3_000);

    AtomicInteger whole = new AtomicInteger();
    AtomicInteger cut = new AtomicInteger();
    AtomicInteger failed = new AtomicInteger();
    AtomicInteger wrong = new AtomicInteger();
    ExecutorService clients = Executors.newFixedThreadPool(CLIENTS);
    for (int number = 0; number < REQUESTS; number++) {
      InetSocketAddress entry = Kit.listening(entries.get(number % entries.size()), "frontend");
      clients.execute(() -> request(record, entry, whole, cut, failed, wrong));
    }
    clients.shutdown();
    if (!clients.awaitTermination(80, TimeUnit.SECONDS)) {
      throw new IllegalStateException("the clients did not end in time");
    }
    record.say(
        "%d requests, %d runs, %d broken off by the replica; answers: %d whole, %d cut off,"
            + " %d failures, %d complete successes with another body",
        REQUESTS, ran.get(), brokenOff.get(), whole.get(), cut.get(), failed.get(), wrong.get());
    if (whole.get() < REQUESTS / 2 || (Kit.isTrouble() && brokenOff.get() == 0)) {
      record.say("could not run: too few answers, or none that the replica broke off");
      return Kit.NOT_RUN;
    }
    record.say(wrong.get() > 0 ? "MIXED is broken" : "MIXED held");
    return wrong.get() > 0 ? Kit.BROKEN : Kit.HELD;
  }

  private static void request(
      Kit.Record record,
      InetSocketAddress entry,
      AtomicInteger whole,
      AtomicInteger cut,
      AtomicInteger failed,
      AtomicInteger wrong) {
    String attemptId = Kit.newAttemptId();
    record.line("send %s", attemptId);
    try {
      Kit.Answer answer =
          Kit.call(
              entry,
              "GET",
              "/report/2026",
              Kit.requestHeaders(HOST, attemptId, 5_000),
              new byte[0],
              8_000);
      boolean isSuccess = answer.status / 100 == 2;
      boolean isWhole = Arrays.equals(answer.body, BODY);
      record.line(
          "answer %s: status %d, stamp %s, %d bytes, %s%s",
          attemptId,
          answer.status,
          answer.headers.get("X-Server-Stamp"),
          answer.body.length,
          answer.isComplete ? "complete" : "not complete: " + answer.end,
          isSuccess && answer.isComplete && !isWhole
              ? " WRONG: the replicas' body has " + BODY_BYTES
              : "");
      if (isSuccess && answer.isComplete) {
        (isWhole ? whole : wrong).incrementAndGet();
      } else {
        (isSuccess ? cut : failed).incrementAndGet();
      }
    } catch (IOException e) {
      record.line("answer %s: none, %s", attemptId, e);
      failed.incrementAndGet();
    }
  }

  private static boolean answer(Kit.Request request, OutputStream out, String id, int bytes)
      throws IOException {
    out.write(
        ("HTTP/1.1 200 OK\r\nX-Attempt-Id: "
                + request.attemptId()
                + "\r\nX-Server-Stamp: stamp-"
                + id
                + "\r\nContent-Type: text/plain\r\nContent-Length: "
                + BODY_BYTES
                + "\r\n\r\n")
            .getBytes(StandardCharsets.ISO_8859_1));
    out.write(BODY, 0, bytes);
    out.flush();
    return bytes == BODY_BYTES;
  }

  private static String configuration() {
    return """
        {"version":3,"routes":[
          {"name":"report","host":"reports.example","path_prefix":"/report/","kind":"idempotent",
           "timeout_ms":5000,"target_latency_ms":1000,"priority":2,"service":"dispatch-api",
           "max_attempts":2,"public":true}],
         "services":[{"name":"dispatch-api","health_path":"/health","max_connections":100}],
         "tenants":[{"name":"t1","api_keys":["k1"]}],
         "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
          "header_timeout_ms":3000,"idle_timeout_ms":15000}}
        """;
  }
}
