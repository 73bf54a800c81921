package dev.ibishub.gateway.front;

import static dev.ibishub.gateway.front.TestEntry.TIMEOUT_MILLIS;
import static dev.ibishub.gateway.front.TestEntry.route;
import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.core.serving.RequestKind;
import dev.ibishub.gateway.model.CallerLimits;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests what callers get when a target sends a response that is none by the RFCs of HTTP. */
final class OddResponseTest {
  /** Far longer than any wait of these tests. */
  private static final int ROUTE_TIMEOUT_MILLIS = 10 * TIMEOUT_MILLIS;

  /** Time within which the entry closes the connection to a target that sent no response. */
  private static final int CLOSE_MILLIS = 10_000;

  private static final String WHOLE =
      "HTTP/1.1 200 OK\r\nsigned: 1\r\nContent-Length: 4\r\n\r\ngood";

  private static final String SIGNED_BODY =
      "\r\nsigned: 1\r\nnot-run: 1\r\nContent-Length: 4\r\n\r\ngood";

  private final TestEntry entry =
      TestEntry.start(
          CallerLimits.DEFAULTS,
          route("/any/", RequestKind.IDEMPOTENT, ROUTE_TIMEOUT_MILLIS),
          route("/once/", RequestKind.ONCE, ROUTE_TIMEOUT_MILLIS));
  private ServerSocket target;

  @BeforeEach
  void announceTarget() throws IOException {
    target = entry.announce("t");
  }

  @AfterEach
  void stop() throws IOException {
    entry.close();
    target.close();
  }

  private RawCaller call(String path) throws IOException {
    return RawCaller.send(
        entry.address(), "GET " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  }

  private static void write(Socket accepted, String text) throws IOException {
    accepted.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    accepted.getOutputStream().flush();
  }

  /** Waits until the entry closes a connection, which the target keeps open. */
  private static void awaitClose(Socket accepted) throws IOException {
    accepted.setSoTimeout(CLOSE_MILLIS);
    try {
      assertThat(accepted.getInputStream().read()).isEqualTo(-1);
    } catch (SocketTimeoutException e) {
      throw new AssertionError("the entry waits for the rest of what is no response", e);
    } catch (IOException e) {
      // The entry reset the connection.
    }
  }

  private void assertIsNoResponse(String response) throws IOException {
    try (RawCaller caller = call("/once/x");
        Socket first = RawTarget.accept(target)) {
      write(first, response);
      awaitClose(first);

      assertThat(caller.await().head()).startsWith("HTTP/1.1 502 ").doesNotContain("odd");
      assertThat(caller.await().body()).doesNotContain("good");
    }
    try (RawCaller caller = call("/any/x");
        Socket first = RawTarget.accept(target);
        ServerSocket other = entry.announce("u")) {
      write(first, response);
      try (Socket second = RawTarget.accept(other)) {
        write(second, WHOLE);
      }
      awaitClose(first);

      assertThat(caller.await().head()).startsWith("HTTP/1.1 200 ").doesNotContain("odd");
      assertThat(caller.await().body()).isEqualTo("good");
    }
  }

  /** Returns the head that a caller gets of a response, after checking that it gets the body. */
  private String headPassedOn(String startOfHead) throws IOException {
    try (RawCaller caller = call("/once/x");
        Socket first = RawTarget.accept(target)) {
      write(first, startOfHead + "\r\nsigned: 1\r\nContent-Length: 4\r\n\r\ngood");

      assertThat(caller.await().body()).isEqualTo("good");
      return caller.await().head();
    }
  }

  // Guards against a caller that gets a status that is none, or nothing until its deadline, as the
  // entry takes it for an interim response.
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 000 odd",
        "HTTP/1.1 099 odd",
        "HTTP/1.1 99 odd",
        "HTTP/1.1 0 odd",
        "HTTP/1.1 0200 odd",
        "HTTP/1.1 +200 odd",
        "HTTP/1.1 -200 odd",
        "HTTP/1.1 600 odd",
        "HTTP/1.1 999 odd",
        "HTTP/1.1 2000 odd",
        "HTTP/1.1 99999999999999999999 odd",
        "HTTP/1.1 20x odd",
        "HTTP/1.1 101 odd",
        "HTTP/1.1 OK odd",
        "HTTP/1.1",
        "HTTP/1.1 ",
        "HTTP/1.1  200 odd",
        "HTTP/1.1\t200 odd",
        "HTTP/1.1\u000b200 odd",
        " HTTP/1.1 200 odd",
        "\u0000HTTP/1.1 200 odd",
        "\r\nHTTP/1.1 200 odd",
        "http/1.1 200 odd",
        "HTTP/2.0 200 odd",
        "HTTP/0.9 200 odd",
        "HTTP/1.10 200 odd",
        "ICY 200 odd",
        "HTTP/1.1 200 odd\u0000",
        "HTTP/1.1 200 odd\u0001",
        "HTTP/1.1 200 odd\u007f",
        "HTTP/1.1 200 odd\rodd",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 odd"
      })
  void statusLineOfAnotherFormIsNoResponse(String statusLine) throws IOException {
    assertIsNoResponse(statusLine + SIGNED_BODY);
  }

  // Guards against a status that is none from the target that a request was sent to besides a
  // silent one, and against giving the silent one up for it.
  @ParameterizedTest
  @ValueSource(strings = {"HTTP/1.1 000 odd", "HTTP/1.1 099 odd", "HTTP/1.1 600 odd"})
  void statusOfAnotherFormOfHedgedRequestIsNoResponse(String statusLine) throws IOException {
    try (RawCaller caller = call("/any/x");
        Socket silent = RawTarget.accept(target);
        ServerSocket other = entry.announce("u")) {
      try (Socket hedged = RawTarget.accept(other)) {
        write(hedged, statusLine + SIGNED_BODY);
        awaitClose(hedged);
      }
      write(silent, WHOLE);

      assertThat(caller.await().head()).startsWith("HTTP/1.1 200 ").doesNotContain("odd");
      assertThat(caller.await().body()).isEqualTo("good");
    }
  }

  // Guards against a status that is none from the target that a request was sent to again after its
  // first connection was cut.
  @ParameterizedTest
  @ValueSource(strings = {"HTTP/1.1 000 odd", "HTTP/1.1 099 odd", "HTTP/1.1 600 odd"})
  void statusOfAnotherFormAfterCutIsNoResponse(String statusLine) throws IOException {
    try (RawCaller caller = call("/any/x");
        ServerSocket other = entry.announce("u")) {
      RawTarget.accept(target).close();
      try (Socket second = RawTarget.accept(other)) {
        write(second, statusLine + SIGNED_BODY);
        awaitClose(second);
      }

      assertThat(caller.await().head()).startsWith("HTTP/1.1 502 ").doesNotContain("odd");
      assertThat(caller.await().body()).doesNotContain("good");
    }
  }

  // Guards against a target's whole response that is refused by too strict a check.
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK",
        "HTTP/1.1 200 ",
        "HTTP/1.1 200",
        "HTTP/1.1 200 all\tis well: \u00e9",
        "HTTP/1.0 200 OK",
        "HTTP/1.2 299 OK",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK",
        "HTTP/1.1 103 Hints\r\nLink: x\r\n\r\nHTTP/1.1 199 Other\r\n\r\nHTTP/1.1 200 OK"
      })
  void statusLineOfTheRightFormIsPassedOn(String statusLine) throws IOException {
    assertThat(headPassedOn(statusLine)).startsWith("HTTP/1.1 2");
  }

  // Guards against a line that is passed on under another name, and a body whose length the entry
  // doesn't find, as a field name isn't what HTTP defines.
  @ParameterizedTest
  @ValueSource(
      strings = {
        "X odd: 1",
        "X\todd: 1",
        "X-odd : 1",
        "X-odd\t: 1",
        " X-odd: 1",
        "\tX-odd: 1",
        ": odd",
        " : odd",
        "X-odd",
        "X\u0000odd: 1",
        "X\u0001odd: 1",
        "X\u000bodd: 1",
        "X\rodd: 1",
        "X\u007fodd: 1",
        "X\u00e9odd: 1",
        "X(odd): 1",
        "\"X-odd\": 1",
        "X-odd: a\u0000",
        "X-odd: a\u0001",
        "X-odd: a\u007f",
        "X-odd: a\rb",
        "X-odd: a\r\n b"
      })
  void lineOfAnotherFormInHeadIsNoResponse(String line) throws IOException {
    assertIsNoResponse("HTTP/1.1 200 OK\r\n" + line + SIGNED_BODY);
    assertIsNoResponse("HTTP/1.1 200 OK\r\nA: b\r\n" + line + SIGNED_BODY);
    assertIsNoResponse("HTTP/1.1 103 Hints\r\n" + line + "\r\n\r\n" + WHOLE);
  }

  // Guards against a body that has no end, or one that isn't the target's, as its length is not
  // found or is none.
  @ParameterizedTest
  @ValueSource(
      strings = {
        "Content Length: 4",
        "Content-Length : 4",
        "Content\u0000-Length: 4",
        "X: y\r\n Content-Length: 4",
        "Content-Length: +4",
        "Content-Length: -4",
        "Content-Length: 4x",
        "Content-Length: 4, 5",
        "Content-Length: 4\r\nContent-Length: 5",
        "Content-Length: 4\r\nTransfer-Encoding: chunked",
        "Transfer Encoding: chunked",
        "Transfer-Encoding : chunked",
        "Transfer-Encoding: chunked, gzip"
      })
  void lengthOfAnotherFormIsNoResponse(String line) throws IOException {
    assertIsNoResponse("HTTP/1.1 200 OK\r\nsigned: 1\r\n" + line + "\r\n\r\ngood");
  }

  // Guards against a body in a transfer coding that its caller is not told of.
  @ParameterizedTest
  @ValueSource(
      strings = {"gzip, chunked", "gzip\r\nTransfer-Encoding: chunked", "identity", "gzip"})
  void bodyInOtherTransferCodingIsNoResponse(String coding) throws IOException {
    assertIsNoResponse(
        "HTTP/1.1 200 OK\r\nsigned: 1\r\nTransfer-Encoding: "
            + coding
            + "\r\n\r\n4\r\ngood\r\n0\r\n\r\n");
  }

  // Guards against a body that is taken for a part of the head.
  @ParameterizedTest
  @ValueSource(
      strings = {
        "Content-Length: 8\r\n\r\n \t\r\n : x",
        "Transfer-Encoding: chunked\r\n\r\n8\r\n \t\r\n : x\r\n0\r\n\r\n",
        "\r\n \t\r\n : x"
      })
  void bodyThatLooksLikeOddLinesIsPassedOn(String framedBody) throws IOException {
    try (RawCaller caller = call("/once/x");
        Socket first = RawTarget.accept(target)) {
      write(first, "HTTP/1.1 200 OK\r\nsigned: 1\r\n" + framedBody);
      first.shutdownOutput();

      assertThat(caller.await().isComplete()).isTrue();
      assertThat(caller.await().body()).isEqualTo(" \t\r\n : x");
    }
  }

  // Guards against a response that counts as complete though its trailer is none.
  @ParameterizedTest
  @ValueSource(strings = {"X odd: 1", "X-odd : 1", ": 1", "X\u0000: 1", "X-odd: \u0001"})
  void lineOfAnotherFormInTrailerIsNoResponse(String line) throws IOException {
    assertIsNoResponse(
        "HTTP/1.1 200 OK\r\nsigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n"
            + line
            + "\r\n\r\n");
  }

  // Guards against a target's whole response that is refused by too strict a check.
  @ParameterizedTest
  @ValueSource(
      strings = {
        "!#$%&'*+-.^_`|~09azAZ: 1",
        "X-a:",
        "X-a:1",
        "X-a: \t1 2\t3 \t",
        "X-a: caf\u00e9 \u0080",
        "X-a: \"q: r\""
      })
  void lineOfTheRightFormIsPassedOn(String line) throws IOException {
    assertThat(headPassedOn("HTTP/1.1 200 OK\r\n" + line))
        .startsWith("HTTP/1.1 200 ")
        .containsIgnoringCase(line.substring(0, line.indexOf(':') + 1))
        .contains(line.substring(line.indexOf(':') + 1).strip());
  }
}
