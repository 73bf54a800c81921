import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Replicas leave while all entries restart; afterwards none of them may get a request. */
public final class Case3 {
  private static final String HOST = "pages.example";
  private static final String SERVICE = "lexweb";
  private static final int ENTRIES = 3;
  private static final int REPLICAS = 66;

  /** Replicas that leave in a round: 0.15 of them. */
  private static final int LEAVING = 10;

  /** Every third of these reports no draining; its entry is removed, and it goes on serving. */
  private static final int ABRUPT_EVERY = 3;

  private static final long LEAVING_GAP_MILLIS = 25;

  /** How long before the entries ask for the replicas the first one leaves, milliseconds. */
  private static final long LEAD_MILLIS = 100;

  private static final long HEARTBEAT_MILLIS = 1_200;
  private static final int ROUNDS = 7;
  private static final int CLIENTS = 12;

  /** Time between two requests of a client, milliseconds; 12 clients send some 150 a second. */
  private static final long PAUSE_MILLIS = 30;

  /** What a request takes at a replica, milliseconds. */
  private static final long WORK_MILLIS = 60;

  private static final long DRAIN_MILLIS = 3_000;

  /** Time after which a machine that was started is in touch, and a little. */
  private static final long TOUCH_MILLIS = 4_200;

  private final Kit.Record record;
  private final Random random = new Random(7);
  private final Map<String, Long> goneAt = new ConcurrentHashMap<>();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger other = new AtomicInteger();
  private final AtomicInteger late = new AtomicInteger();
  private final List<Kit.Replica> replicas = new ArrayList<>();
  private final Map<Kit.Replica, String> stateOf = new ConcurrentHashMap<>();
  private final AtomicInteger sequence = new AtomicInteger();
  private long startMillis;
  private volatile boolean isJudged;

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
    Kit.Store store = new Kit.Store(50);
    store.answerMillis = 4;
    store.record = record;
    store.put("keyed.op", "config", configuration());
    for (int i = 0; i < REPLICAS; i++) {
      startReplica(store);
    }
    Kit.daemon(() -> beat(store)).start();
    List<String> seeds = List.of("127.0.13.1:" + site.linkPort);
    long startedAt = System.currentTimeMillis();
    List<Map<String, Object>> entries = new ArrayList<>();
    for (int number = 1; number <= ENTRIES; number++) {
      entries.add(
          site.startEntry("edge-" + number, "127.0.13." + number, store.address(), seeds));
    }
    Kit.awaitReady(entries, 20_000);
    startMillis = store.firstPageAt.get("keyed.servers") - startedAt;
    record.line("an entry asks for the replicas %d ms after its start", startMillis);
    Thread.sleep(4_000);
    for (int round = 1; round <= ROUNDS; round++) {
      round(site, store, entries, round);
    }
    record.say(
        "%d requests answered with 200, %d not; %d reached a replica later than %d ms after it was"
            + " draining or gone",
        answered.get(), other.get(), late.get(), DRAIN_MILLIS);
    if (answered.get() < 300) {
      record.say("could not run: too few answers");
      return Kit.NOT_RUN;
    }
    record.say(late.get() > 0 ? "DRAIN is broken" : "DRAIN held");
    return late.get() > 0 ? Kit.BROKEN : Kit.HELD;
  }

  private void round(
      Kit.Site site, Kit.Store store, List<Map<String, Object>> entries, int round)
      throws Exception {
    record.line("round %d", round);
    int lateBefore = late.get();
    long restartedAt = 0;
    if (Kit.isTrouble()) {
      for (int number = 1; number <= ENTRIES; number++) {
        site.signal("edge-" + number, "KILL");
      }
      Thread.sleep(1_000);
      restartedAt = System.currentTimeMillis();
      for (int number = 1; number <= ENTRIES; number++) {
        site.restart("edge-" + number, "entry");
      }
    }
    // The replicas leave over 0.25 s, as the entries come back.
    Thread.sleep(Math.max(0, startMillis - LEAD_MILLIS));
    Collections.shuffle(replicas, random);
    List<Kit.Replica> leaving = new ArrayList<>(replicas.subList(0, LEAVING));
    replicas.removeAll(leaving);
    for (int i = 0; i < LEAVING; i++) {
      leave(store, leaving.get(i), i % ABRUPT_EVERY == 1);
      Thread.sleep(LEAVING_GAP_MILLIS);
    }
    Kit.awaitReady(entries, 20_000);
    if (Kit.isTrouble()) {
      startMillis = store.firstPageAt.get("keyed.servers") - restartedAt;
      record.line("an entry asks for the replicas %d ms after its start", startMillis);
    }
    Thread.sleep(TOUCH_MILLIS);
    isJudged = true;
    long until = System.currentTimeMillis() + 4_000;
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      InetSocketAddress entry = Kit.listening(entries.get(i % ENTRIES), "frontend");
      Thread client = Kit.daemon(() -> send(entry, until));
      clients.add(client);
      client.start();
    }
    Thread.sleep(2_500);
    for (Kit.Replica each : leaving) {
      stateOf.remove(each);
      store.put("keyed.servers", each.id, "");
      each.exit();
      record.line("%s exits", each.id);
    }
    for (Thread client : clients) {
      client.join();
    }
    isJudged = false;
    record.say("round %d: %d late requests", round, late.get() - lateBefore);
    for (int i = 0; i < LEAVING; i++) {
      startReplica(store);
    }
    Thread.sleep(1_000);
  }

  /** Begins the planned end of a replica; it goes on serving until the round is over. */
  private void leave(Kit.Store store, Kit.Replica replica, boolean isAbrupt) {
    synchronized (stateOf) {
      if (isAbrupt) {
        stateOf.remove(replica);
        store.put("keyed.servers", replica.id, "");
      } else {
        stateOf.put(replica, "draining");
        announce(store, replica, "draining");
      }
      goneAt.put(replica.id, System.currentTimeMillis());
    }
    record.line("%s %s", replica.id, isAbrupt ? "gone from the store" : "draining");
  }

  private void announce(Kit.Store store, Kit.Replica replica, String state) {
    store.put(
        "keyed.servers",
        replica.id,
        replica.announcement(SERVICE, state, 6, sequence.incrementAndGet()));
  }

  /** Renews the entries of all replicas, each once in the heartbeat interval. */
  private void beat(Kit.Store store) {
    try {
      while (true) {
        List<Kit.Replica> all = new ArrayList<>(stateOf.keySet());
        for (Kit.Replica each : all) {
          synchronized (stateOf) {
            String state = stateOf.get(each);
            if (state != null) {
              announce(store, each, state);
            }
          }
          Thread.sleep(HEARTBEAT_MILLIS / all.size());
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void startReplica(Kit.Store store) throws IOException {
    String id = "i-%08x".formatted(random.nextInt());
    Kit.Replica replica =
        new Kit.Replica(
            id,
            "127.0.23." + (1 + random.nextInt(200)),
            (request, out, channel) -> answer(request, out, id));
    replicas.add(replica);
    stateOf.put(replica, "ready");
    announce(store, replica, "ready");
  }

  private void send(InetSocketAddress entry, long until) {
    while (System.currentTimeMillis() < until) {
      String attemptId = Kit.newAttemptId();
      record.line("send %s", attemptId);
      try {
        Kit.Answer answer =
            Kit.call(
                entry,
                "POST",
                "/page/a",
                Kit.requestHeaders(HOST, attemptId, 1_500),
                "the body".getBytes(StandardCharsets.UTF_8),
                3_000);
        (answer.status == 200 ? answered : other).incrementAndGet();
        record.line("answer %s: status %d%s", attemptId, answer.status, answer.status == 200 ? "" : " LOST");
        Thread.sleep(PAUSE_MILLIS);
      } catch (InterruptedException e) {
        return;
      } catch (IOException e) {
        other.incrementAndGet();
      }
    }
  }

  private boolean answer(Kit.Request request, OutputStream out, String id) throws IOException {
    Long gone = goneAt.get(id);
    long since = gone == null ? 0 : System.currentTimeMillis() - gone;
    if (isJudged && since > DRAIN_MILLIS) {
      late.incrementAndGet();
      record.line("LATE: %s reaches %s %d ms after it was draining or gone", request.attemptId(), id, since);
    }
    record.line("run %s at %s", request.attemptId(), id);
    try {
      Thread.sleep(WORK_MILLIS);
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
    byte[] body = "page".getBytes(StandardCharsets.UTF_8);
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
          {"name":"page","host":"pages.example","path_prefix":"/page/","kind":"non_idempotent",
           "timeout_ms":1500,"target_latency_ms":387,"priority":2,"service":"lexweb",
           "max_attempts":1,"public":true}],
         "services":[{"name":"lexweb","health_path":"/health","max_connections":100}],
         "tenants":[{"name":"t1","api_keys":["k1"]}],
         "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
          "header_timeout_ms":3000,"idle_timeout_ms":15000}}
        """;
  }
}
