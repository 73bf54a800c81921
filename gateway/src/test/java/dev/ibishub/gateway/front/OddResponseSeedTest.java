package dev.ibishub.gateway.front;

import static dev.ibishub.gateway.front.TestEntry.TIMEOUT_MILLIS;
import static dev.ibishub.gateway.front.TestEntry.route;
import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.core.serving.RequestKind;
import dev.ibishub.gateway.model.CallerLimits;
import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Plays a target that mixes responses with bytes that are none, and keeps connections open. */
final class OddResponseSeedTest {
  private static final long FIRST_SEED = Long.getLong("ibishub.seed", 1);
  private static final long SEEDS = Long.getLong("ibishub.seeds", 4);
  private static final int REQUESTS = 500;
  private static final int ROUTE_TIMEOUT_MILLIS = 10 * TIMEOUT_MILLIS;
  private static final String BODY = "good";

  private static final List<String> ODD_STATUS_LINES =
      List.of(
          "HTTP/1.1 000 odd",
          "HTTP/1.1 042 odd",
          "HTTP/1.1 99 odd",
          "HTTP/1.1 101 odd",
          "HTTP/1.1 600 odd",
          "HTTP/1.1 999 odd",
          "HTTP/1.1 0200 odd",
          "HTTP/1.1 +200 odd",
          "HTTP/1.1  200 odd",
          "HTTP/2.0 200 odd",
          "http/1.1 200 odd",
          "odd HTTP/1.1 200 OK",
          "HTTP/1.1 200 odd\u0001");

  /** Characters that no field name has. */
  private static final String ODD_CHARACTERS =
      " \t\u0000\u0001\u000b\r\u007f\u0080\u00ff(),/;<=>?@[]{}\"\\";

  private static LongStream seeds() {
    return LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS);
  }

  private static String odd(Random random) {
    List<String> lines = new ArrayList<>(List.of("signed: 1", "X-a: b", "Content-Length: 4"));
    String statusLine = "HTTP/1.1 200 OK";
    String interim = random.nextInt(4) == 0 ? "HTTP/1.1 103 Hints\r\nX-a: b\r\n\r\n" : "";
    switch (random.nextInt(5)) {
      case 0 -> statusLine = ODD_STATUS_LINES.get(random.nextInt(ODD_STATUS_LINES.size()));
      case 1 -> lines.add(random.nextInt(lines.size() + 1), oddLine(random));
      case 2 -> lines.set(2, oddLength(random));
      case 3 -> interim = "HTTP/1.1 103 Hints\r\n" + oddLine(random) + "\r\n\r\n";
      default -> {
        lines.set(2, "Transfer-Encoding: chunked");
        return interim
            + head(statusLine, lines)
            + "4\r\n"
            + BODY
            + "\r\n0\r\n"
            + oddLine(random)
            + "\r\n\r\n";
      }
    }
    return interim + head(statusLine, lines) + BODY;
  }

  private static String oddLine(Random random) {
    char character = ODD_CHARACTERS.charAt(random.nextInt(ODD_CHARACTERS.length()));
    return switch (random.nextInt(4)) {
      case 0 -> "X" + character + "odd: 1";
      case 1 -> "X-odd" + character + ": 1";
      case 2 -> ": odd";
      default -> "odd";
    };
  }

  private static String oddLength(Random random) {
    List<String> lines =
        List.of(
            "Content Length: 4", "Content-Length\t: 4", "Content-Length: 4x", "Content-Length: -4");
    return lines.get(random.nextInt(lines.size()));
  }

  private static String head(String statusLine, List<String> lines) {
    return statusLine + "\r\n" + String.join("\r\n", lines) + "\r\n\r\n";
  }

  private static String sound(Random random) {
    String head = "HTTP/1.1 200 OK\r\nsigned: 1\r\n";
    return random.nextBoolean()
        ? head + "Content-Length: 4\r\n\r\n" + BODY
        : head + "Transfer-Encoding: chunked\r\n\r\n4\r\n" + BODY + "\r\n0\r\nX-a: b\r\n\r\n";
  }

  /** Writes a response in pieces of any size. */
  private static void write(Socket accepted, String response, Random random) {
    byte[] bytes = response.getBytes(StandardCharsets.ISO_8859_1);
    try {
      OutputStream output = accepted.getOutputStream();
      for (int from = 0; from < bytes.length; ) {
        int length = Math.min(bytes.length - from, 1 + random.nextInt(bytes.length));
        output.write(bytes, from, length);
        output.flush();
        from += length;
      }
    } catch (IOException e) {
      // The entry closed the connection, as it has seen that this is no response.
    }
  }

  // Guards against any mix of malformed responses of which something reaches a caller, or that
  // keeps a caller waiting or a sound response from it.
  @ParameterizedTest
  @MethodSource("seeds")
  void onlySoundResponsesArePassedOn(long seed) throws IOException {
    Random random = new Random(seed);
    try (TestEntry entry =
            TestEntry.start(
                CallerLimits.DEFAULTS, route("/once/", RequestKind.ONCE, ROUTE_TIMEOUT_MILLIS));
        ServerSocket target = entry.announce("t")) {
      for (int request = 0; request < REQUESTS; request++) {
        boolean isSound = random.nextInt(4) == 0;
        String response = isSound ? sound(random) : odd(random);
        try (RawCaller caller =
                RawCaller.send(
                    entry.address(),
                    "GET /once/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
            Socket accepted = RawTarget.accept(target)) {
          write(accepted, response, random);

          RawCaller.Received received = caller.await();
          String what = "seed %d, request %d: %s".formatted(seed, request, response);
          assertThat(received.isComplete()).as(what).isTrue();
          assertThat(received.head())
              .as(what)
              .startsWith(isSound ? "HTTP/1.1 200 " : "HTTP/1.1 502 ")
              .doesNotContain("odd");
          assertThat(received.body().equals(BODY)).as(what).isEqualTo(isSound);
        }
      }
    }
  }
}
