package dev.ibishub.gateway.callers;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.gateway.callers.CallerMemory.Kind;
import dev.ibishub.gateway.model.CallerLimits;
import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the connections of callers that don't read their responses. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
final class UnreadResponseTest {
  /** More than the buffers of both ends of a connection hold. */
  private static final int LARGE_BYTES = 16 << 20;

  /** Checks of a connection within a second, of which an open one needs few. */
  private static final int MAXIMUM_CHECKS = 20;

  private static final long AWAIT_MILLIS = 30_000;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final CallerMemory memory = new CallerMemory(() -> 8L * LARGE_BYTES);
  private final Queue<String> started = new ConcurrentLinkedQueue<>();
  private final Queue<String> departed = new ConcurrentLinkedQueue<>();
  private final AtomicInteger timeoutChecks = new AtomicInteger();
  private volatile long stalledMillis = 60_000;
  private volatile long idleMillis = 60_000;
  private volatile int maximumConnections = 10;
  private CallerServer server;

  @BeforeEach
  void start() {
    CallerResources resources =
        CallerResources.create(
            new PrometheusRegistry(),
            memory,
            () -> maximumConnections,
            () -> {
              timeoutChecks.incrementAndGet();
              return stalledMillis;
            });
    server =
        new CallerServer(
            () -> new CallerLimits(16_000, 100_000, 60_000, idleMillis),
            LargeResponse::new,
            resources);
    server.listen(group, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
  }

  @AfterEach
  void stop() {
    server.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /** Answers {@code /large} with {@link #LARGE_BYTES}, and nothing else. */
  private final class LargeResponse implements CallerExchange {
    private final CallerResponse response;
    private final FullHttpRequest request;
    private final Runnable onDone;

    LargeResponse(
        Channel channel, ConnectionMemory unused, FullHttpRequest request, Runnable onDone) {
      this.response = new CallerResponse(channel, request, () -> false);
      this.request = request;
      this.onDone = onDone;
    }

    @Override
    public void start() {
      started.add(request.uri());
      if (request.uri().equals("/large")) {
        response.writeWhole(200, new DefaultHttpHeaders(), new byte[LARGE_BYTES]);
        request.release();
        onDone.run();
      }
    }

    @Override
    public void onWritable(boolean writable) {}

    @Override
    public void onCallerGone() {
      departed.add(request.uri());
      request.release();
      onDone.run();
    }

    @Override
    public boolean closesConnection() {
      return response.isLast();
    }
  }

  private Socket send(String... paths) throws IOException {
    Socket caller = new Socket(InetAddress.getLoopbackAddress(), server.address().getPort());
    for (String path : paths) {
      caller.getOutputStream().write(request(path));
    }
    return caller;
  }

  private static byte[] request(String path) {
    return "GET %s HTTP/1.1\r\nHost: h\r\n\r\n".formatted(path).getBytes(StandardCharsets.US_ASCII);
  }

  /** Reads the body of a response; less of it if the connection ends. */
  private static byte[] readLarge(Socket caller) throws IOException {
    StringBuilder head = new StringBuilder();
    for (int next = 0; next >= 0 && head.indexOf("\r\n\r\n") < 0; ) {
      next = caller.getInputStream().read();
      head.append((char) next);
    }
    return caller.getInputStream().readNBytes(LARGE_BYTES);
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(AWAIT_MILLIS);
    while (!condition.getAsBoolean() && System.nanoTime() < deadline) {
      TimeUnit.MILLISECONDS.sleep(5);
    }
    assertThat(condition.getAsBoolean()).isTrue();
  }

  private boolean isNothingHeld() {
    return Arrays.stream(Kind.values()).allMatch(kind -> memory.bytes(kind) == 0);
  }

  // Guards against responses that pile up on a connection whose caller does not read.
  @Test
  void nextRequestWaitsUntilTheResponseBeforeIsRead() throws Exception {
    try (Socket caller = send("/large", "/next")) {
      await(() -> memory.bytes(Kind.RESPONSE) > 0);
      TimeUnit.MILLISECONDS.sleep(100);
      assertThat(started).containsExactly("/large");

      caller.getInputStream().readNBytes(LARGE_BYTES);

      await(() -> started.contains("/next"));
    }
    await(this::isNothingHeld);
  }

  // Guards against requests that run after their caller left while they were held back.
  @Test
  void requestsThatAreHeldBackNeverRunOnceTheirCallerLeft() throws Exception {
    try (Socket caller = send("/large", "/next")) {
      await(() -> memory.bytes(Kind.RESPONSE) > 0);
    }
    await(this::isNothingHeld);

    assertThat(started).containsExactly("/large");
    assertThat(departed).isEmpty();
  }

  // Guards against connections that stay open for ever as their callers read nothing.
  @Test
  void connectionIsClosedWhenNothingIsReadForLong() throws Exception {
    stalledMillis = 100;
    try (Socket caller = send("/large")) {
      await(() -> memory.bytes(Kind.RESPONSE) > 0);
      await(this::isNothingHeld);

      assertThat(caller.getInputStream().readAllBytes().length).isLessThan(LARGE_BYTES);
    }
  }

  // Guards against an event loop that does nothing but check a connection whose caller reads
  // slowly.
  @Test
  void connectionIsCheckedSeldomWhileItsCallerReadsNothing() throws Exception {
    idleMillis = 100;
    try (Socket caller = send("/large")) {
      await(() -> memory.bytes(Kind.RESPONSE) > 0);
      TimeUnit.MILLISECONDS.sleep(3 * idleMillis);
      int checksBefore = timeoutChecks.get();
      TimeUnit.SECONDS.sleep(1);

      assertThat(timeoutChecks.get() - checksBefore).isLessThan(MAXIMUM_CHECKS);
      assertThat(readLarge(caller)).hasSize(LARGE_BYTES);
    }
  }

  // Guards against a response that is cut off as its connection makes room for another one.
  @Test
  void connectionWithUnwrittenResponseMakesNoRoomForOthers() throws Exception {
    maximumConnections = 1;
    try (Socket caller = send("/large")) {
      await(() -> started.contains("/large") && memory.bytes(Kind.RESPONSE) > 0);
      try (Socket other = send("/next")) {
        TimeUnit.MILLISECONDS.sleep(200);
      }

      assertThat(readLarge(caller)).hasSize(LARGE_BYTES);
      await(() -> memory.bytes(Kind.RESPONSE) == 0);
      try (Socket other = send("/large")) {
        assertThat(readLarge(other)).hasSize(LARGE_BYTES);
      }
    }
  }

  // Guards against a connection that closes as idle just when its caller has read a response.
  @Test
  void idleTimeBeginsWhenResponseIsWritten() throws Exception {
    idleMillis = 2_500;
    try (Socket caller = send("/large")) {
      TimeUnit.MILLISECONDS.sleep(idleMillis + 500);
      assertThat(readLarge(caller)).hasSize(LARGE_BYTES);
      TimeUnit.MILLISECONDS.sleep(idleMillis / 2);

      caller.getOutputStream().write(request("/large"));
      assertThat(readLarge(caller)).hasSize(LARGE_BYTES);
    }
  }
}
