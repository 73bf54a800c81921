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

/** What every page for callers and operators shares: ids, limits and failures. Thread-safe. */
final class CallerServer {
  static final String REQUEST_ID_HEADER = "Ibishub-Request-Id";

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int RADIX = 36;

  private final HttpServer server;
  private final EntrySettings settings;
  private final InstantSource clock;
  private final String idPrefix;
  private final AtomicLong lastId = new AtomicLong();
  private final AtomicInteger inFlight = new AtomicInteger();
  private final Map<InetAddress, AtomicInteger> inFlightByCaller = new ConcurrentHashMap<>();

  /** A page; it may leave the exchange open and end it later. */
  @FunctionalInterface
  interface Page {
    void handle(HttpExchange exchange, String requestId) throws IOException;
  }

  CallerServer(HttpServer server, EntrySettings settings, long incarnation, InstantSource clock) {
    this.server = server;
    this.settings = settings;
    this.clock = clock;
    this.idPrefix = settings.processId() + "-" + Long.toString(incarnation, RADIX) + "-";
  }

  /** Adds a page. */
  void add(String path, Page page) {
    server.createContext(path, handler(page));
  }

  /** Requests that have a place, see {@link #takePlace}. */
  int inFlight() {
    return inFlight.get();
  }

  /**
   * Takes a place among the requests in flight. One caller's flood must not use up the places of
   * all others, so each address has a bound of its own.
   *
   * @return gives the place back, once
   * @throws ResultException with {@code OVERLOADED}
   */
  Runnable takePlace(HttpExchange exchange) {
    InetAddress caller = exchange.getRemoteAddress().getAddress();
    AtomicInteger ofCaller = inFlightByCaller.computeIfAbsent(caller, key -> new AtomicInteger());
    boolean callerFull = ofCaller.incrementAndGet() > settings.maximumStreamsPerCaller();
    boolean full = inFlight.incrementAndGet() > settings.maximumConcurrentStreams();
    Runnable giveBack =
        () -> {
          inFlight.decrementAndGet();
          ofCaller.decrementAndGet();
        };
    if (full || callerFull) {
      giveBack.run();
      throw new ResultException(
          ResultCode.OVERLOADED,
          full ? "this entry has its most requests in flight" : "too many requests of this caller",
          clock.instant().plusSeconds(1));
    }
    return giveBack;
  }

  private HttpHandler handler(Page page) {
    return exchange -> {
      String requestId = idPrefix + Long.toString(lastId.incrementAndGet(), RADIX);
      exchange.getResponseHeaders().set(REQUEST_ID_HEADER, requestId);
      try {
        HttpExchanges.checkHeaders(exchange, settings.maximumHeaderBytes());
        page.handle(exchange, requestId);
      } catch (ResultException refusal) {
        refuse(exchange, refusal, requestId);
      } catch (IOException e) {
        exchange.close();
      } catch (RuntimeException e) {
        logger.atSevere().withCause(e).log("%s", LogEvent.of("request.broke").request(requestId));
        refuse(exchange, new ResultException(ResultCode.INTERNAL, "internal error"), requestId);
      }
    };
  }

  private void refuse(HttpExchange exchange, ResultException refusal, String requestId)
      throws IOException {
    logger.atInfo().log(
        "%s", LogEvent.of("request.refused").request(requestId).code(refusal.code()));
    Problem.send(exchange, refusal, requestId, clock.instant());
  }
}
