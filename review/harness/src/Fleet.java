import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Entries, a group of ranks with an agent beside each, and clients that stream from them. */
final class Fleet {
  static final int TIMEOUT_MILLIS = 8_000;

  final Record record;
  final Store store;
  final Programs programs;
  final List<Ranks> groups = new ArrayList<>();
  final List<Replica> replicas = new ArrayList<>();
  final int entries;
  final ConcurrentLinkedQueue<Try> tries = new ConcurrentLinkedQueue<>();
  volatile boolean isOver;

  /** One request of a client, and what became of it. */
  static final class Try {
    final String entry;
    final String id = UUID.randomUUID().toString().replace("-", "").substring(0, 16);
    final long sentAt = System.currentTimeMillis();
    volatile long endedAt;
    volatile String end = "";

    Try(String entry) {
      this.entry = entry;
    }
  }

  Fleet(
      Record record, Store store, Programs programs, int number, int ranks, int experts,
      int entries, int seed)
      throws IOException {
    this.record = record;
    this.store = store;
    this.programs = programs;
    this.entries = entries;
    for (int group = 0; group < number; group++) {
      groups.add(new Ranks("g" + group, ranks, experts, record));
    }
    for (int index = 0; index < number * ranks; index++) {
      Ranks group = groups.get(index / ranks);
      Replica replica =
          new Replica("i-" + index, index % ranks, host(index), group, record, seed);
      replicas.add(replica);
      store.put("keyed.servers", replica.id, replica.announcement("coder-llm", "z1", 1));
    }
    store.put(
        "keyed.op",
        "config",
        "{\"version\":3,\"routes\":[{\"name\":\"verbatim\",\"host\":\"h.example\","
            + "\"path_prefix\":\"/v/\",\"kind\":\"streaming\",\"resumable\":true,"
            + "\"timeout_ms\":" + TIMEOUT_MILLIS + ",\"target_latency_ms\":400,"
            + "\"gap_target_ms\":120,\"priority\":1,\"service\":\"coder-llm\","
            + "\"max_attempts\":2,\"public\":true,\"sticky\":true}],"
            + "\"services\":[{\"name\":\"coder-llm\",\"engine\":{\"slots\":12,"
            + "\"step_ms\":4.84,\"per_seq_ms\":0.362,\"stride\":6,\"read_per_s\":74800,"
            + "\"usual\":{\"prompt\":800,\"answer\":160},\"sets\":" + Ranks.SETS
            + ",\"experts\":" + experts + ",\"placements\":" + Ranks.PLACES + ",\"spare\":"
            + Ranks.SPARE + ",\"expert_mb\":40,\"link_mbps\":180000,\"expert_share\":0.6,"
            + "\"form_ms\":500}}],\"limits\":{}}");
  }

  static String host(int index) {
    return "127.0.3." + (index + 1);
  }

  /** Starts passes and all processes; returns whether the entries are ready. */
  boolean start(long passMillis) throws IOException, InterruptedException {
    for (Ranks group : groups) {
      Replica.daemon(
          () -> {
            try {
              group.run(passMillis);
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
          });
    }
    for (int entry = 1; entry <= entries; entry++) {
      programs.startEntry("entry-" + entry, "127.0.1." + entry, "z1", true);
    }
    for (int index = 0; index < replicas.size(); index++) {
      programs.startAgent("agent-" + index, host(index), "z1", replicas.get(index).address());
    }
    for (int entry = 1; entry <= entries; entry++) {
      if (!programs.awaitReady("entry-" + entry, 25_000)) {
        record.say("entry-%d is not ready within 25 s; logs in %s", entry, programs.folder());
        return false;
      }
    }
    return true;
  }

  void startClients(int number) {
    for (int client = 0; client < number; client++) {
      String entry = "entry-" + (1 + client % entries);
      Replica.daemon(() -> streamAll(entry));
    }
  }

  private void streamAll(String entry) {
    while (!isOver) {
      Try attempt = new Try(entry);
      tries.add(attempt);
      attempt.end = stream(attempt);
      attempt.endedAt = System.currentTimeMillis();
      record.line(
          "CLIENT %s to %s: %s after %d ms",
          attempt.id, entry, attempt.end, attempt.endedAt - attempt.sentAt);
      try {
        Thread.sleep(attempt.end.equals("whole") ? 50 : 300);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Streams one answer; returns how it ended. */
  private String stream(Try attempt) {
    String[] parts = programs.caller(attempt.entry).split(":");
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 1_000);
      // A client that waits for half a second longer than the route's timeout, and a little more.
      socket.setSoTimeout(TIMEOUT_MILLIS + 700);
      String body = "prompt " + attempt.id;
      socket
          .getOutputStream()
          .write(
              ("POST /v/" + attempt.id + " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: "
                      + attempt.id + "\r\nX-Model: m\r\nX-Token-Counts: 700,160\r\n"
                      + "X-Prompt-Prefix: a" + attempt.id.charAt(0) + ":40," + attempt.id
                      + ":660\r\nX-Deadline-Ms: 8000\r\nConnection: close\r\nContent-Length: "
                      + body.length() + "\r\n\r\n" + body)
                  .getBytes(StandardCharsets.ISO_8859_1));
      InputStream in = Http.buffered(socket.getInputStream());
      Http.Message answer = Http.response(in);
      if (answer == null) {
        return "closed without an answer";
      }
      String status = answer.start.split(" ")[1];
      return status.equals("200") ? "whole" : status;
    } catch (IOException | RuntimeException e) {
      return e.getClass().getSimpleName() + " " + e.getMessage();
    }
  }
}
