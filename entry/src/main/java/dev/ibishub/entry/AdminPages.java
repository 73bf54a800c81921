package dev.ibishub.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import dev.ibishub.core.ConfigurationEvent;
import dev.ibishub.core.ConfigurationState;
import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import dev.ibishub.platform.ConfigurationFollower;
import dev.ibishub.platform.ConfigurationPublisher;
import dev.ibishub.settings.EntrySettings;
import dev.ibishub.settings.OperatorSettings;
import dev.ibishub.settings.OperatorSettings.Role;
import dev.ibishub.wire.generated.Frame;
import dev.ibishub.wire.generated.OrderRequest;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.time.InstantSource;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletionException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The operator API. Thread-safe. */
final class AdminPages {
  private static final Pattern TARGET_PATH =
      Pattern.compile("/admin/v1/targets/([^/]+)/(drain|undrain)");

  private final EntrySettings settings;
  private final ConfigurationFollower follower;
  private final ConfigurationPublisher publisher;
  private final TargetLinks links;
  private final InstantSource clock;

  AdminPages(
      EntrySettings settings,
      ConfigurationFollower follower,
      ConfigurationPublisher publisher,
      TargetLinks links,
      InstantSource clock) {
    this.settings = settings;
    this.follower = follower;
    this.publisher = publisher;
    this.links = links;
    this.clock = clock;
  }

  void addTo(CallerServer pages) {
    pages.add("/admin/v1/configuration", this::configuration);
    pages.add("/admin/v1/history", this::history);
    pages.add("/admin/v1/status", this::status);
    pages.add("/admin/v1/targets/", this::target);
  }

  private void configuration(HttpExchange exchange, String requestId) throws IOException {
    if (exchange.getRequestMethod().equals("POST")) {
      publish(exchange, requestId);
      return;
    }
    operator(exchange, Role.VIEWER);
    ConfigurationState state = revision(exchange);
    ObjectNode answer = JsonNodeFactory.instance.objectNode();
    answer.put("revision", state.revision()).put("base", state.base());
    ObjectNode overlays = answer.putObject("overlays");
    state.overlays().forEach(overlays::put);
    Http.sendJson(exchange, 200, answer);
  }

  private ConfigurationState revision(HttpExchange exchange) {
    String query = Optional.ofNullable(exchange.getRequestURI().getQuery()).orElse("");
    Matcher wanted = Pattern.compile("revision=([0-9]{1,18})").matcher(query);
    if (!wanted.matches()) {
      return follower.state();
    }
    return follower
        .state(Long.parseLong(wanted.group(1)))
        .orElseThrow(
            () ->
                new ResultException(
                    ResultCode.REVISION_UNKNOWN, "revision " + wanted.group(1) + " is not kept"));
  }

  private void publish(HttpExchange exchange, String requestId) throws IOException {
    OperatorSettings author = operator(exchange, Role.OPERATOR);
    JsonNode change = Http.object(Http.body(exchange, settings.maximumBodyBytes()));
    String kind = change.path("kind").asText();
    String site = kind.startsWith("overlay:") ? kind.substring("overlay:".length()) : "";
    if (site.isEmpty() && !kind.equals("base")) {
      throw new ResultException(
          ResultCode.MALFORMED_REQUEST, "\"kind\" must be base or overlay:SITE");
    }
    if (!change.path("basedOnRevision").isIntegralNumber()) {
      throw new ResultException(
          ResultCode.MALFORMED_REQUEST, "\"basedOnRevision\" must be a whole number");
    }
    publisher
        .publish(
            site,
            change.path("content").asText(),
            change.path("basedOnRevision").asLong(),
            author.name())
        .whenComplete(
            (result, failure) -> {
              try {
                if (failure != null) {
                  Problem.send(exchange, cause(failure), requestId, clock.instant());
                  return;
                }
                Http.sendJson(
                    exchange,
                    200,
                    JsonNodeFactory.instance
                        .objectNode()
                        .put("recordId", result.recordId())
                        .put("revision", result.revision()));
              } catch (IOException e) {
                exchange.close();
              }
            });
  }

  private void history(HttpExchange exchange, String requestId) throws IOException {
    operator(exchange, Role.VIEWER);
    ObjectNode answer = JsonNodeFactory.instance.objectNode();
    ArrayNode list = answer.putArray("events");
    for (ConfigurationEvent event : follower.events()) {
      list.addPOJO(event.toString());
    }
    Http.sendJson(exchange, 200, answer);
  }

  private void status(HttpExchange exchange, String requestId) throws IOException {
    operator(exchange, Role.VIEWER);
    ObjectNode answer = JsonNodeFactory.instance.objectNode();
    answer.put("entry", settings.processId());
    answer.put("site", settings.site());
    answer.put("revision", follower.state().revision());
    ArrayNode targets = answer.putArray("targets");
    links
        .reports()
        .forEach(
            report ->
                targets
                    .addObject()
                    .put("target", report.getTarget())
                    .put("zone", report.getZone())
                    .put("leaving", report.getLeaving())
                    .put("reachable", report.getEngineReachable())
                    .put("queued", report.getQueued())
                    .put("running", report.getRunning())
                    .put("limit", report.getLimit())
                    .put("group", report.getGroup())
                    .put("served", String.join(" ", report.getServedList())));
    Http.sendJson(exchange, 200, answer);
  }

  private void target(HttpExchange exchange, String requestId) throws IOException {
    OperatorSettings operator = operator(exchange, Role.OPERATOR);
    Matcher path = TARGET_PATH.matcher(exchange.getRequestURI().getPath());
    if (!path.matches() || !exchange.getRequestMethod().equals("POST")) {
      throw new ResultException(ResultCode.NOT_FOUND, "no such page");
    }
    OrderRequest order =
        OrderRequest.newBuilder()
            .setOrderId(UUID.randomUUID().toString())
            .setKind(path.group(2))
            .setOrderedBy(operator.name())
            .build();
    boolean sent =
        links
            .link(path.group(1))
            .map(link -> link.offer(Frame.newBuilder().setOrderRequest(order).build()))
            .orElse(false);
    if (!sent) {
      throw new ResultException(ResultCode.TARGET_UNREACHABLE, "no link to " + path.group(1));
    }
    Http.sendJson(
        exchange,
        ResultCode.ACCEPTED.httpStatus(),
        JsonNodeFactory.instance.objectNode().put("orderId", order.getOrderId()));
  }

  private OperatorSettings operator(HttpExchange exchange, Role least) {
    OperatorSettings operator =
        Http.bearer(exchange.getRequestHeaders())
            .flatMap(
                token ->
                    settings.operators().stream()
                        .filter(known -> sameSecret(known.token(), token))
                        .findFirst())
            .orElseThrow(
                () ->
                    new ResultException(
                        ResultCode.UNAUTHENTICATED, "no operator has the token given"));
    if (operator.role().compareTo(least) < 0) {
      throw new ResultException(
          ResultCode.FORBIDDEN, "the role " + operator.role() + " may not do this");
    }
    return operator;
  }

  /** Compares in a time that does not tell how much of a guess was right. */
  private static boolean sameSecret(String known, String given) {
    return MessageDigest.isEqual(
        known.getBytes(StandardCharsets.UTF_8), given.getBytes(StandardCharsets.UTF_8));
  }

  private static ResultException cause(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof ResultException result
        ? result
        : new ResultException(ResultCode.INTERNAL, "internal error");
  }
}
