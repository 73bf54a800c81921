import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound replica of a web application, whose pages are as long as the last part of the path says. */
final class Pages {
  final String id;
  private final String host;
  private final Record record;
  private final ServerSocket server;

  /** How often each attempt ran, by its id. */
  final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

  /** The attempts whose answer was written in full. */
  final Map<String, Integer> answered = new ConcurrentHashMap<>();

  Pages(String id, String host, Record record) throws IOException {
    this.id = id;
    this.host = host;
    this.record = record;
    server = new ServerSocket(0, 500, InetAddress.getByName(host));
    Replica.daemon(this::accept);
  }

  String announcement(String service, String zone) {
    return "{\"service\":\"" + service + "\",\"address\":\"" + host + ":" + server.getLocalPort()
        + "\",\"zone\":\"" + zone + "\",\"version\":1,\"slots\":200,\"state\":\"ready\","
        + "\"cold_remaining_ms\":0,\"sequence\":1}";
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        Replica.daemon(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = Http.buffered(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      for (Http.Message request = Http.request(in); request != null; request = Http.request(in)) {
        String attempt = request.header("X-Attempt-Id");
        if (!request.header("X-Expect-Instance").equals(id)) {
          out.write("HTTP/1.1 421 S\r\nContent-Length: 0\r\n\r\n".getBytes());
          continue;
        }
        String[] parts = request.start.split(" ")[1].split("/");
        int length = Integer.parseInt(parts[parts.length - 1]);
        runs.computeIfAbsent(attempt, any -> new AtomicInteger()).incrementAndGet();
        record.line("RUN %s runs %s", id, attempt);
        out.write(
            ("HTTP/1.1 200 S\r\nX-Attempt-Id: " + attempt + "\r\nX-Server-Stamp: s-" + id
                    + "\r\nContent-Type: text/plain\r\nContent-Length: " + length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        byte[] piece = "0123456789abcdef".repeat(1024).getBytes(StandardCharsets.ISO_8859_1);
        for (int left = length; left > 0; left -= piece.length) {
          out.write(piece, 0, Math.min(left, piece.length));
        }
        out.flush();
        answered.put(attempt, length);
        record.line("RUN %s has answered %s in full, %d bytes", id, attempt, length);
      }
    } catch (IOException | RuntimeException e) {
      // The channel is over.
    }
  }
}
