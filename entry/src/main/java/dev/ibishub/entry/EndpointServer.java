package dev.ibishub.entry;

import com.google.common.flogger.FluentLogger;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import dev.ibishub.administration.ProblemDocument;
import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import dev.ibishub.gateway.callers.CallerExchange;
import dev.ibishub.gateway.callers.CallerMemory;
import dev.ibishub.gateway.callers.CallerResources;
import dev.ibishub.gateway.callers.CallerServer;
import dev.ibishub.gateway.callers.ConnectionMemory;
import dev.ibishub.gateway.callers.DescriptorShares;
import dev.ibishub.gateway.callers.UnwrittenResponses;
import dev.ibishub.gateway.model.CallerLimits;
import dev.ibishub.runtime.LogEvent;
import dev.ibishub.settings.EntrySettings;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * HTTP server for callers and operators, behind ibishub's own interface. Gives each request an id,
 * limits headers and requests in flight, and turns failures into problem responses. Thread-safe.
 */
final class EndpointServer {
  static final String REQUEST_ID_HEADER = "Ibishub-Request-Id";

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int ID_RADIX = 36;
  private static final int IO_THREADS = 2;
  private static final URI ROOT = URI.create("/");

  /** Stands for the limit that the system has set for the descriptors of the process. */
  private static final long UNSTATED = 0;

  /** Time after which an idle connection is closed, milliseconds. */
  private static final long IDLE_TIMEOUT_MILLIS = 30_000;

  private final EntrySettings settings;
  private final InstantSource clock;
  private final Executor threads;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(IO_THREADS, NioIoHandler.newFactory());
  private final CallerServer connections;
  private final Map<String, HttpHandler> handlers = new ConcurrentHashMap<>();
  private volatile boolean isStarted;
  private final String idPrefix;
  private final AtomicLong lastId = new AtomicLong();
  private final AtomicInteger inFlight = new AtomicInteger();
  private final Map<InetAddress, AtomicInteger> inFlightByCaller = new ConcurrentHashMap<>();

  /** Handles the requests of one path; may return with the exchange open and end it later. */
  @FunctionalInterface
  interface Endpoint {
    void handle(CallerHttpExchange exchange, String requestId) throws IOException;
  }

  /**
   * Creates a server that doesn't listen yet.
   *
   * @param threads runs the endpoints, which may block, so it must not have a fixed number of
   *     threads
   * @param registry where the metrics of connections are registered
   */
  EndpointServer(
      EntrySettings settings,
      long incarnation,
      InstantSource clock,
      Executor threads,
      PrometheusRegistry registry) {
    this.settings = settings;
    this.clock = clock;
    this.threads = threads;
    this.idPrefix = settings.processId() + "-" + Long.toString(incarnation, ID_RADIX) + "-";
    long slowSenderMillis = TimeUnit.SECONDS.toMillis(settings.slowSenderSeconds());
    CallerLimits limits =
        new CallerLimits(
            settings.maximumHeaderBytes(),
            settings.maximumBodyBytes(),
            slowSenderMillis,
            slowSenderMillis,
            IDLE_TIMEOUT_MILLIS);
    CallerResources resources =
        CallerResources.create(
            registry,
            new CallerMemory(settings::callerMemoryBytes),
            () ->
                DescriptorShares.of(UNSTATED)
                    .callerConnections(settings.maximumCallerConnections()),
            () -> TimeUnit.SECONDS.toMillis(settings.stalledResponseSeconds()));
    this.connections = new CallerServer(() -> limits, new Exchanges(), resources);
  }

  /** Adds the endpoint of all paths that begin with the given one and with no longer one. */
  void add(String path, Endpoint endpoint) {
    add(path, handler(endpoint));
  }

  /** Adds a handler of paths, as {@link #add(String, Endpoint)}, whose requests have no id. */
  void add(String path, HttpHandler handler) {
    handlers.put(path, handler);
  }

  /** Starts to listen; requests are refused as "not ready" until {@link #start}. */
  void listen() {
    connections.listen(group, new InetSocketAddress(settings.host(), settings.callerPort()));
  }

  /** Starts to pass requests to the endpoints. */
  void start() {
    isStarted = true;
  }

  /** Returns the port at which callers can connect, once the server listens. */
  int port() {
    return connections.address().getPort();
  }

  /** Stops listening and closes all connections, also those with a request in flight. */
  void close() {
    connections.close();
    group.shutdownGracefully();
  }

  /** Returns the number of requests that hold a slot, see {@link #acquireSlot}. */
  int inFlight() {
    return inFlight.get();
  }

  /** Returns the counts of what connections have not written of responses. */
  UnwrittenResponses unwritten() {
    return connections.unwritten();
  }

  /** Whether a request is in flight, or a response isn't written to its connection. */
  boolean isBusy() {
    return inFlight() > 0 || connections.isBusy();
  }

  /**
   * Acquires a slot for a request in flight. Each caller address has a limit of its own, so that a
   * flood from one caller cannot use up the slots of all others.
   *
   * @return releases the slot; to be run exactly once
   * @throws ResultException with {@code OVERLOADED} if the entry or the caller is at its limit
   */
  Runnable acquireSlot(CallerHttpExchange exchange) {
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
        endpoint.handle((CallerHttpExchange) exchange, requestId);
      } catch (ResultException failure) {
        sendProblem(exchange, failure, requestId);
      } catch (RuntimeException e) {
        logger.atSevere().withCause(e).log("%s", LogEvent.of("request.broke").request(requestId));
        sendProblem(
            exchange, new ResultException(ResultCode.INTERNAL, "internal error"), requestId);
      }
    };
  }

  private HttpHandler handlerOf(String path) {
    if (!isStarted) {
      return refusal(ResultCode.NOT_READY, "this entry is starting");
    }
    return handlers.keySet().stream()
        .filter(path::startsWith)
        .max(Comparator.comparingInt(String::length))
        .map(handlers::get)
        .orElseGet(() -> refusal(ResultCode.NOT_FOUND, "no such path"));
  }

  private HttpHandler refusal(ResultCode code, String detail) {
    return handler(
        (exchange, requestId) -> {
          throw new ResultException(code, detail);
        });
  }

  private void sendProblem(HttpExchange exchange, ResultException failure, String requestId)
      throws IOException {
    logger.atInfo().log(
        "%s", LogEvent.of("request.refused").request(requestId).code(failure.code()));
    Problem.send(exchange, failure, requestId, clock.instant());
  }

  /** Creates the exchanges of the callers' connections. */
  private final class Exchanges implements CallerExchange.Factory {
    @Override
    public CallerExchange create(
        Channel channel, ConnectionMemory memory, FullHttpRequest request, Runnable onDone) {
      Optional<URI> uri = parse(request.uri());
      HttpHandler handler =
          uri.map(known -> handlerOf(known.getPath()))
              .orElseGet(() -> refusal(ResultCode.MALFORMED_REQUEST, "the path is no URI"));
      return new CallerHttpExchange(channel, request, uri.orElse(ROOT), handler, threads, onDone);
    }

    private static Optional<URI> parse(String text) {
      try {
        return Optional.of(new URI(text));
      } catch (URISyntaxException e) {
        return Optional.empty();
      }
    }

    @Override
    public FullHttpResponse createRejection(int status, ResultCode code) {
      ResultException failure = new ResultException(code, "the request can't be read");
      byte[] problem = ProblemDocument.of(failure).toString().getBytes(StandardCharsets.UTF_8);
      var response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1,
              HttpResponseStatus.valueOf(code.httpStatus()),
              Unpooled.wrappedBuffer(problem));
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, problem.length);
      response.headers().set(HttpHeaderNames.CONTENT_TYPE, ProblemDocument.CONTENT_TYPE);
      if (code.retry() == ResultCode.Retry.LATER) {
        response.headers().set(HttpHeaderNames.RETRY_AFTER, 1);
      }
      return response;
    }
  }
}
