package dev.ibishub.standins;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import dev.ibishub.outbound.OutboundHttp;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * The HTTP server of one stand-in, which applies injected faults before and after the stand-in
 * handles a call. Calls under {@code /control/} are exempt from faults. Thread-safe.
 */
public final class StandInServer implements AutoCloseable {
  static {
    // The JDK's server reads these properties when it is first loaded. Without nodelay, Nagle's
    // algorithm and delayed acknowledgements hold each small piece of a stream back for about 40
    // ms.
    System.setProperty("sun.net.httpserver.nodelay", "true");
    // Above this number of idle connections the server closes one to which a client may be writing.
    System.setProperty("sun.net.httpserver.maxIdleConnections", "10000");
  }

  private static final int BACKLOG = 1024;
  private static final Duration OUTAGE_RETRY_AFTER = Duration.ofMillis(200);

  private final HttpServer server;
  private final ExecutorService executor;
  private final FaultInjector faults;
  private final Handler handler;

  /** Handles the requests to one stand-in. */
  @FunctionalInterface
  interface Handler {
    StandInReply handle(StandInRequest request) throws IOException, InterruptedException;
  }

  private StandInServer(
      HttpServer server, ExecutorService executor, FaultInjector faults, Handler handler) {
    this.server = server;
    this.executor = executor;
    this.faults = faults;
    this.handler = handler;
  }

  /**
   * Starts a server that listens on the given address.
   *
   * @param port the port, 0 for any free one
   */
  static StandInServer start(String host, int port, FaultInjector faults, Handler handler)
      throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress(host, port), BACKLOG);
    ExecutorService executor = Executors.newCachedThreadPool();
    StandInServer started = new StandInServer(server, executor, faults, handler);
    server.createContext("/", started::serve);
    server.setExecutor(executor);
    server.start();
    return started;
  }

  public InetSocketAddress address() {
    return server.getAddress();
  }

  @Override
  public void close() {
    server.stop(0);
    executor.shutdownNow();
  }

  // An exception thrown from this method closes the connection at once, without the final chunk of
  // the body, so the client sees a truncated answer as when the process dies. Closing the exchange
  // would end the body normally.
  private void serve(HttpExchange exchange) throws IOException {
    StandInRequest request =
        new StandInRequest(
            exchange.getRequestMethod(),
            exchange.getRequestURI(),
            exchange.getRequestHeaders(),
            exchange.getRequestBody().readAllBytes());
    try {
      if (request.path().startsWith("/control/")) {
        answer(exchange, control(request));
        return;
      }
      StandInReply reply = replyWithFaults(request);
      if (!request.method().equals("GET") && faults.consumeLostAnswer()) {
        throw new IOException("answer lost by an injected fault");
      }
      answer(exchange, reply);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("stopped", e);
    }
  }

  private StandInReply replyWithFaults(StandInRequest request)
      throws IOException, InterruptedException {
    faults.awaitUnfrozen();
    Thread.sleep(faults.current().slowMillis());
    if (faults.current().outage()) {
      return StandInReply.refusal(
          ResultCode.LOG_UNAVAILABLE, "outage injected", OUTAGE_RETRY_AFTER.toMillis());
    }
    return reply(request);
  }

  private StandInReply control(StandInRequest request) throws IOException, InterruptedException {
    if (request.is("PUT", "/control/faults")) {
      faults.set(request.json(Faults.class));
      return StandInReply.empty();
    }
    if (request.is("GET", "/control/faults")) {
      return StandInReply.json(faults.current());
    }
    return reply(request);
  }

  private StandInReply reply(StandInRequest request) throws IOException, InterruptedException {
    try {
      return handler.handle(request);
    } catch (ResultException e) {
      long retryAfterMillis =
          e.retryAt()
              .map(at -> Math.max(1, Duration.between(Instant.now(), at).toMillis()))
              .orElse(0L);
      return StandInReply.refusal(e.code(), e.getMessage(), retryAfterMillis);
    } catch (IllegalArgumentException e) {
      return StandInReply.refusal(ResultCode.MALFORMED_REQUEST, e.getMessage());
    }
  }

  private static void answer(HttpExchange exchange, StandInReply reply)
      throws IOException, InterruptedException {
    Optional.ofNullable(exchange.getRequestHeaders().getFirst(OutboundHttp.CALL_ID_HEADER))
        .ifPresent(id -> exchange.getResponseHeaders().set(OutboundHttp.CALL_ID_HEADER, id));
    reply.headers().forEach(exchange.getResponseHeaders()::set);
    if (reply.writer().isPresent()) {
      exchange.getResponseHeaders().set("Content-Type", "application/x-ndjson");
      exchange.sendResponseHeaders(reply.status(), 0);
      OutputStream out = exchange.getResponseBody();
      reply.writer().get().write(out);
      out.close();
      return;
    }
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    boolean empty = reply.body().length == 0;
    exchange.sendResponseHeaders(reply.status(), empty ? -1 : reply.body().length);
    if (!empty) {
      exchange.getResponseBody().write(reply.body());
    }
    exchange.close();
  }
}
