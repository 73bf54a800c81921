package dev.ibishub.entry;

import com.google.common.flogger.FluentLogger;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import dev.ibishub.runtime.LogEvent;
import dev.ibishub.settings.EntrySettings;
import java.io.IOException;
import java.net.InetAddress;
import java.time.InstantSource;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * HTTP server for callers and operators, behind ibishub's own interface. Gives each request an id,
 * limits headers and requests in flight, and turns failures into problem responses. Thread-safe.
 */
final class CallerServer {
  static final String REQUEST_ID_HEADER = "Ibishub-Request-Id";

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int ID_RADIX = 36;

  private final HttpServer server;
  private final EntrySettings settings;
  private final InstantSource clock;
  private final String idPrefix;
  private final AtomicLong lastId = new AtomicLong();
  private final AtomicInteger inFlight = new AtomicInteger();
  private final Map<InetAddress, AtomicInteger> inFlightByCaller = new ConcurrentHashMap<>();

  /** Handles the requests of one path; may return with the exchange open and end it later. */
  @FunctionalInterface
  interface Endpoint {
    void handle(HttpExchange exchange, String requestId) throws IOException;
  }

  CallerServer(HttpServer server, EntrySettings settings, long incarnation, InstantSource clock) {
    this.server = server;
    this.settings = settings;
    this.clock = clock;
    this.idPrefix = settings.processId() + "-" + Long.toString(incarnation, ID_RADIX) + "-";
  }

  void add(String path, Endpoint endpoint) {
    server.createContext(path, handler(endpoint));
  }

  /** Returns the number of requests that hold a slot, see {@link #acquireSlot}. */
  int inFlight() {
    return inFlight.get();
  }

  /**
   * Acquires a slot for a request in flight. Each caller address has a limit of its own, so that a
   * flood from one caller cannot use up the slots of all others.
   *
   * @return releases the slot; to be run exactly once
   * @throws ResultException with {@code OVERLOADED} if the entry or the caller is at its limit
   */
  Runnable acquireSlot(HttpExchange exchange) {
    InetAddress caller = exchange.getRemoteAddress().getAddress();
    AtomicInteger callerInFlight =
        inFlightByCaller.computeIfAbsent(caller, key -> new AtomicInteger());
    boolean callerAtLimit = callerInFlight.incrementAndGet() > settings.maximumStreamsPerCaller();
    boolean entryAtLimit = inFlight.incrementAndGet() > settings.maximumConcurrentStreams();
    Runnable releaseSlot =
        () -> {
          inFlight.decrementAndGet();
          callerInFlight.decrementAndGet();
        };
    if (entryAtLimit || callerAtLimit) {
      releaseSlot.run();
      throw new ResultException(
          ResultCode.OVERLOADED,
          entryAtLimit
              ? "this entry has its most requests in flight"
              : "too many requests of this caller",
          clock.instant().plusSeconds(1));
    }
    return releaseSlot;
  }

  private HttpHandler handler(Endpoint endpoint) {
    return exchange -> {
      String requestId = idPrefix + Long.toString(lastId.incrementAndGet(), ID_RADIX);
      exchange.getResponseHeaders().set(REQUEST_ID_HEADER, requestId);
      try {
        HttpExchanges.checkHeaders(exchange, settings.maximumHeaderBytes());
        endpoint.handle(exchange, requestId);
      } catch (ResultException failure) {
        sendProblem(exchange, failure, requestId);
      } catch (IOException e) {
        exchange.close();
      } catch (RuntimeException e) {
        logger.atSevere().withCause(e).log("%s", LogEvent.of("request.broke").request(requestId));
        sendProblem(
            exchange, new ResultException(ResultCode.INTERNAL, "internal error"), requestId);
      }
    };
  }

  private void sendProblem(HttpExchange exchange, ResultException failure, String requestId)
      throws IOException {
    logger.atInfo().log(
        "%s", LogEvent.of("request.refused").request(requestId).code(failure.code()));
    Problem.send(exchange, failure, requestId, clock.instant());
  }
}
