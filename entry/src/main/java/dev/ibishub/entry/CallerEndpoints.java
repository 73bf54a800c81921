package dev.ibishub.entry;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import dev.ibishub.core.AddressBook;
import dev.ibishub.core.Admission;
import dev.ibishub.core.AdmissionDecision;
import dev.ibishub.core.AdmissionQuery;
import dev.ibishub.core.Configuration;
import dev.ibishub.core.Configuration.Service;
import dev.ibishub.core.Configuration.Workspace;
import dev.ibishub.core.Repeatability;
import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import dev.ibishub.core.WorkspaceLimits;
import dev.ibishub.settings.EntrySettings;
import dev.ibishub.wire.AnswerEnds;
import dev.ibishub.wire.generated.Cancel;
import dev.ibishub.wire.generated.Dispatch;
import dev.ibishub.wire.generated.Frame;
import dev.ibishub.wire.generated.ServiceCall;
import java.io.IOException;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * HTTP endpoints for callers: completions, plain services, streams and the address list.
 * Thread-safe.
 */
final class CallerEndpoints {
  private static final Pattern SERVICE_PATH = Pattern.compile("/services/([^/]+)(/.*)?");
  private static final String STREAM_PATH = "/v1/streams/";
  private static final Set<String> STRIPPED_REQUEST_HEADERS =
      Set.of(
          "authorization",
          "connection",
          "content-length",
          "expect",
          "host",
          "keep-alive",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade");

  private final EntrySettings settings;
  private final RequestContext context;
  private final EndpointServer server;
  private final WorkspaceAuthenticator authenticator;
  private final Supplier<Configuration> configuration;
  private final Admission admission;
  private final AddressBook addresses;
  private final BooleanSupplier serving;
  private final EntryMetrics metrics;

  CallerEndpoints(
      EntrySettings settings,
      RequestContext context,
      EndpointServer server,
      WorkspaceAuthenticator authenticator,
      Supplier<Configuration> configuration,
      Admission admission,
      AddressBook addresses,
      BooleanSupplier serving,
      EntryMetrics metrics) {
    this.settings = settings;
    this.context = context;
    this.server = server;
    this.authenticator = authenticator;
    this.configuration = configuration;
    this.admission = admission;
    this.addresses = addresses;
    this.serving = serving;
    this.metrics = metrics;
  }

  void addTo(EndpointServer callerServer) {
    callerServer.add("/v1/addresses", this::addresses);
    callerServer.add("/v1/completions", (exchange, id) -> complete(exchange, id, false));
    callerServer.add("/v1/chat/completions", (exchange, id) -> complete(exchange, id, true));
    callerServer.add(STREAM_PATH, this::stream);
    callerServer.add("/services/", this::callService);
  }

  private void addresses(CallerHttpExchange exchange, String requestId) throws IOException {
    requireMethod(exchange, "GET");
    ObjectNode answer = JsonNodeFactory.instance.objectNode();
    ArrayNode list = answer.putArray("addresses");
    addresses
        .addresses(context.clock().instant())
        .forEach(
            address ->
                list.addObject()
                    .put("url", address.url())
                    .put("zone", address.zone())
                    .put("validUntil", address.validUntil().toString()));
    HttpExchanges.sendJson(exchange, 200, answer);
  }

  private void complete(CallerHttpExchange exchange, String requestId, boolean chat)
      throws IOException {
    requireMethod(exchange, "POST");
    requireServing();
    var metadata = metadata(exchange, requestId);
    byte[] body = HttpExchanges.readBody(exchange, settings.maximumBodyBytes());
    var parsed = CompletionRequestParser.parse(body, chat, metadata, configuration.get());
    CompletionFormat format = new CompletionFormat(requestId, parsed.model(), chat);
    AnswerWriter answer =
        parsed.streamed()
            ? new StreamedAnswerWriter(exchange, requestId, format, 0, context.clock())
            : new JsonAnswerWriter(exchange, requestId, format, context.clock());
    start(exchange, metadata.workspace(), parsed.request(), answer);
  }

  private void callService(CallerHttpExchange exchange, String requestId) throws IOException {
    requireServing();
    var metadata = metadata(exchange, requestId);
    Matcher path = SERVICE_PATH.matcher(exchange.getRequestURI().getRawPath());
    Service service = path.matches() ? configuration.get().services().get(path.group(1)) : null;
    if (service == null) {
      throw new ResultException(ResultCode.NOT_FOUND, "no such service at this site");
    }
    byte[] body = HttpExchanges.readBody(exchange, settings.maximumBodyBytes());
    String servicePath = path.group(2) == null ? "/" : path.group(2);
    boolean mayBeRepeated = service.mayBeRepeated(exchange.getRequestMethod(), servicePath);
    String key = Optional.ofNullable(header(exchange, "Idempotency-Key")).orElse("");
    if (!mayBeRepeated && key.isEmpty()) {
      throw new ResultException(
          ResultCode.IDEMPOTENCY_KEY_REQUIRED,
          "this call runs at most once and needs the header Idempotency-Key");
    }
    String query = exchange.getRequestURI().getRawQuery();
    ServiceCall call =
        ServiceCall.newBuilder()
            .setService(service.name())
            .setMethod(exchange.getRequestMethod())
            .setPathAndQuery(query == null ? servicePath : servicePath + "?" + query)
            .addAllHeaders(AnswerEnds.headersToWire(endToEndHeaders(exchange)))
            .setBody(ByteString.copyFrom(body))
            .setIdempotencyKey(mayBeRepeated ? "" : key)
            .setMayBeRepeated(mayBeRepeated)
            .build();
    Dispatch dispatch = CompletionRequestParser.dispatch(metadata, 1).setServiceCall(call).build();
    CallerRequest request =
        new CallerRequest(
            requestId,
            metadata.workspace().name(),
            "service:" + service.name(),
            0,
            1,
            metadata.deadline(),
            mayBeRepeated ? Repeatability.MAY_BE_REPEATED : Repeatability.ONCE_BY_CLAIM,
            true,
            dispatch);
    AnswerWriter answer = new ServiceAnswerWriter(exchange, requestId, context.clock());
    start(exchange, metadata.workspace(), request, answer);
  }

  /** Resumes ({@code GET}) or cancels ({@code DELETE}) a streamed answer. */
  private void stream(CallerHttpExchange exchange, String requestId) throws IOException {
    var metadata = metadata(exchange, requestId);
    String name = exchange.getRequestURI().getPath().substring(STREAM_PATH.length());
    StreamName stream = StreamName.decode(name);
    switch (exchange.getRequestMethod()) {
      case "GET" -> resume(exchange, metadata, stream);
      case "DELETE" -> cancel(exchange, metadata, stream);
      default -> requireMethod(exchange, "GET or DELETE");
    }
  }

  private void resume(
      CallerHttpExchange exchange,
      CompletionRequestParser.RequestMetadata metadata,
      StreamName stream) {
    long from = firstChunk(exchange);
    CompletionFormat format =
        new CompletionFormat(metadata.requestId(), stream.model(), stream.chat());
    AnswerWriter answer =
        new StreamedAnswerWriter(exchange, metadata.requestId(), format, from, context.clock());
    CallerRequest request =
        new CallerRequest(
            metadata.requestId(),
            metadata.workspace().name(),
            stream.model(),
            0,
            0,
            metadata.deadline(),
            Repeatability.ONCE,
            false,
            Dispatch.getDefaultInstance());
    Runnable releaseSlot = server.acquireSlot(exchange);
    RequestRunner runner =
        new RequestRunner(context, request, answer, (code, tokens) -> releaseSlot.run());
    exchange.onDisconnect(runner::onCallerDisconnected);
    context
        .links()
        .linkTo(stream.target())
        .whenComplete(
            (link, failure) -> {
              if (failure == null) {
                runner.resume(link, stream);
              } else {
                runner.failResume();
              }
            });
  }

  private void cancel(
      CallerHttpExchange exchange,
      CompletionRequestParser.RequestMetadata metadata,
      StreamName stream)
      throws IOException {
    Frame cancel =
        Frame.newBuilder()
            .setCancel(
                Cancel.newBuilder()
                    .setAttemptId(stream.attemptId())
                    .setCallerWorkspace(metadata.workspace().name()))
            .build();
    context.links().linkTo(stream.target()).thenAccept(link -> link.offer(cancel));
    HttpExchanges.sendJson(
        exchange,
        ResultCode.ACCEPTED.httpStatus(),
        JsonNodeFactory.instance.objectNode().put("requestId", metadata.requestId()));
  }

  private void start(
      CallerHttpExchange exchange,
      Workspace workspace,
      CallerRequest request,
      AnswerWriter answer) {
    Runnable releaseSlot = server.acquireSlot(exchange);
    Instant now = context.clock().instant();
    AdmissionDecision decision = admission.admit(query(workspace, request, now), now);
    if (!decision.admitted()) {
      releaseSlot.run();
      metrics.refused(decision.code());
      throw new ResultException(decision.code(), "not admitted", decision.retryAt().orElse(null));
    }
    admission.started(workspace.name(), request.estimatedTokens(), now);
    RequestRunner runner =
        new RequestRunner(
            context,
            request,
            answer,
            (code, usedTokens) -> {
              releaseSlot.run();
              Instant end = context.clock().instant();
              admission.finished(workspace.name(), request.estimatedTokens(), usedTokens, end);
              metrics.finished(code, now, end);
            });
    exchange.onDisconnect(runner::onCallerDisconnected);
    runner.start();
  }

  private AdmissionQuery query(Workspace workspace, CallerRequest request, Instant now) {
    WorkspaceLimits limits =
        new WorkspaceLimits(
            workspace.requestsPerSecond(),
            workspace.tokensPerSecond(),
            workspace.maximumConcurrent(),
            workspace.weight());
    return new AdmissionQuery(
        workspace.name(),
        limits,
        workspace.priority(),
        request.estimatedTokens(),
        0,
        context.router().estimatedStart(request.servedName(), now).orElse(now),
        request.deadline());
  }

  private CompletionRequestParser.RequestMetadata metadata(
      CallerHttpExchange exchange, String requestId) {
    Workspace workspace = authenticator.authenticate(exchange.getRequestHeaders());
    boolean acceptsRestart = "accept".equals(header(exchange, "Ibishub-Restart"));
    return new CompletionRequestParser.RequestMetadata(
        requestId, workspace, deadline(exchange), acceptsRestart);
  }

  private Instant deadline(CallerHttpExchange exchange) {
    Instant latest = context.clock().instant().plusSeconds(settings.requestTimeoutSeconds());
    String given = header(exchange, "Ibishub-Deadline");
    if (given == null) {
      return latest;
    }
    try {
      Instant requested = Instant.parse(given);
      return requested.isBefore(latest) ? requested : latest;
    } catch (DateTimeException e) {
      throw new ResultException(
          ResultCode.MALFORMED_REQUEST,
          "Ibishub-Deadline must be a time such as 2026-01-31T08:00:00Z");
    }
  }

  private static long firstChunk(CallerHttpExchange exchange) {
    String query = Optional.ofNullable(exchange.getRequestURI().getQuery()).orElse("from=0");
    Matcher from = Pattern.compile("from=([0-9]{1,18})").matcher(query);
    if (!from.matches()) {
      throw new ResultException(
          ResultCode.MALFORMED_REQUEST, "the query must be from= and a chunk number");
    }
    return Long.parseLong(from.group(1));
  }

  private void requireServing() {
    if (!serving.getAsBoolean()) {
      throw new ResultException(
          ResultCode.ENTRY_LEAVING,
          "this entry takes no new requests; ask another for addresses",
          context.clock().instant());
    }
  }

  private static void requireMethod(CallerHttpExchange exchange, String method) {
    if (!exchange.getRequestMethod().equals(method)) {
      throw new ResultException(ResultCode.METHOD_NOT_ALLOWED, "only " + method + " here");
    }
  }

  private static Map<String, List<String>> endToEndHeaders(CallerHttpExchange exchange) {
    return exchange.getRequestHeaders().entrySet().stream()
        .filter(
            header -> !STRIPPED_REQUEST_HEADERS.contains(header.getKey().toLowerCase(Locale.ROOT)))
        .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
  }

  private static String header(CallerHttpExchange exchange, String name) {
    return exchange.getRequestHeaders().getFirst(name);
  }
}
