import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** One model replica, a rank of a group: streams, reports, counts and orders. */
final class Replica {
  final String id;
  final int rank;
  private final String host;
  private final Ranks group;
  private final Record record;
  private final ServerSocket server;
  private final AtomicLong running = new AtomicLong();
  private final ScheduledExecutorService late =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
          });
  private final Random random;

  /** Share of the orders that get no answer and are carried out 2 to 12 s later. */
  volatile double appliedLate;

  /** Share of the answers of which a second one comes, late, on the same channel. */
  volatile double extraLate;

  /** Counts of what the replica did, for the record. */
  final AtomicLong answers = new AtomicLong();
  final AtomicLong extras = new AtomicLong();
  final AtomicLong orders = new AtomicLong();
  final AtomicLong lateOrders = new AtomicLong();

  Replica(String id, int rank, String host, Ranks group, Record record, long seed)
      throws IOException {
    this.id = id;
    this.rank = rank;
    this.host = host;
    this.group = group;
    this.record = record;
    this.random = new Random(seed * 1_000 + id.hashCode());
    server = new ServerSocket(0, 200, InetAddress.getByName(host));
    daemon(this::accept);
  }

  String address() {
    return host + ":" + server.getLocalPort();
  }

  String announcement(String service, String zone, int sequence) {
    return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone
        + "\",\"version\":1,\"slots\":12,\"state\":\"ready\",\"cold_remaining_ms\":0,"
        + "\"sequence\":" + sequence + "}";
  }

  static void daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        daemon(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private synchronized boolean happens(double share) {
    return share > 0 && random.nextDouble() < share;
  }

  private synchronized long lateness() {
    return 2_000 + random.nextInt(10_001);
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = Http.buffered(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      byte[] extra = null;
      while (true) {
        Http.Message request = Http.request(in);
        if (request == null) {
          return;
        }
        String path = request.start.split(" ")[1];
        if (extra != null) {
          // The second answer to the request before comes where the next answer is expected.
          out.write(extra);
          out.flush();
          extras.incrementAndGet();
          if (path.startsWith("/ibishub/order")) {
            record.line(
                "EXTRA rank %d: a second answer '%s' comes where that to %s is expected",
                rank, firstLine(extra), request.text().replaceAll(",\"map\".*", ",.."));
          }
          extra = null;
        }
        byte[] answer = answer(request, path, out);
        if (answer == null) {
          // Nothing more comes on this channel.
          Thread.sleep(30_000);
          return;
        }
        if (answer.length == 0) {
          return;
        }
        out.write(answer);
        out.flush();
        answers.incrementAndGet();
        if (happens(extraLate)) {
          extra = answer;
        }
      }
    } catch (IOException | InterruptedException e) {
      // The channel is over.
    }
  }

  private static String firstLine(byte[] answer) {
    return new String(answer, StandardCharsets.ISO_8859_1).split("\r\n")[0];
  }

  /** Returns the answer; null to leave it out; empty where it was written or the channel ends. */
  private byte[] answer(Http.Message request, String path, OutputStream out)
      throws IOException, InterruptedException {
    if (path.startsWith("/ibishub/report")) {
      return json(request, 200, group.report(rank, running.get()));
    }
    if (path.startsWith("/ibishub/picked")) {
      return json(request, 200, group.picked(rank, path.contains("lists")));
    }
    boolean isOther =
        !request.header("X-Expect-Instance").isEmpty()
            && !request.header("X-Expect-Instance").equals(id);
    if (isOther) {
      return json(request, 421, "{}");
    }
    if (path.startsWith("/ibishub/order")) {
      return order(request);
    }
    stream(request, out);
    return new byte[0];
  }

  private byte[] order(Http.Message request) {
    Ranks.Order order = Ranks.Order.parse(request.text());
    orders.incrementAndGet();
    if (happens(appliedLate)) {
      long millis = lateness();
      lateOrders.incrementAndGet();
      record.line("LATE rank %d: %s in %d ms", rank, name(order), millis);
      late.schedule(
          () -> record.line(
              "ORDER rank %d: %s, late: %d", rank, name(order), group.execute(rank, order)),
          millis,
          TimeUnit.MILLISECONDS);
      return null;
    }
    int status = group.execute(rank, order);
    record.line("ORDER rank %d: %s: %d", rank, name(order), status);
    return json(request, status, "{}");
  }

  private static String name(Ranks.Order order) {
    return order.operation + " version " + order.version + " step " + order.step
        + " fence " + order.fence;
  }

  private byte[] json(Http.Message request, int status, String body) {
    String attempt = request.header("X-Attempt-Id");
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    String head =
        "HTTP/1.1 " + status + " S\r\nContent-Type: application/json\r\n"
            + (attempt.isEmpty() ? "" : "X-Attempt-Id: " + attempt + "\r\n")
            + "Content-Length: " + bytes.length + "\r\n\r\n";
    byte[] all = new byte[head.length() + bytes.length];
    System.arraycopy(head.getBytes(StandardCharsets.ISO_8859_1), 0, all, 0, head.length());
    System.arraycopy(bytes, 0, all, head.length(), bytes.length);
    return all;
  }

  private void stream(Http.Message request, OutputStream out)
      throws IOException, InterruptedException {
    String last = request.header("Last-Event-Id");
    int from = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
    running.incrementAndGet();
    group.onStart();
    try {
      out.write(
          ("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Server-Stamp: s-" + id
                  + "\r\nX-Attempt-Id: " + request.header("X-Attempt-Id")
                  + "\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n")
              .getBytes(StandardCharsets.ISO_8859_1));
      for (int event = from; event <= 26; event++) {
        group.awaitPass();
        String text = "id: " + event + "\ndata: w" + event + "\n\n";
        out.write(
            (Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
      }
      out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
    } finally {
      running.decrementAndGet();
      group.onEnd();
    }
  }
}
