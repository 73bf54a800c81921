package dev.ibishub.administration;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.ibishub.core.ConfigurationEvent;
import dev.ibishub.core.ConfigurationState;
import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import dev.ibishub.settings.Fault;
import dev.ibishub.settings.OperatorSettings.Role;
import dev.ibishub.settings.SettingsException;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Supplier;

/**
 * Operator API under {@code /admin/v1}, without the HTTP layer; docs/API.md documents its paths and
 * JSON. Errors are returned as answers too, so the returned future never fails. Thread-safe.
 */
public final class OperatorApi {
  private static final int MAXIMUM_AUDIT_ENTRIES = 500;
  private static final String OVERLAY_PREFIX = "overlay:";

  private final ConfigurationFollower follower;
  private final ConfigurationPublisher publisher;
  private final AuditTrail audit;
  private final ZoneEvacuations evacuations;
  private final TargetOrders orders;
  private final Supplier<String> status;
  private final InstantSource clock;

  private OperatorApi(
      ConfigurationFollower follower,
      ConfigurationPublisher publisher,
      AuditTrail audit,
      TargetOrders orders,
      Supplier<String> status,
      InstantSource clock) {
    this.follower = follower;
    this.publisher = publisher;
    this.evacuations = new ZoneEvacuations(follower, publisher);
    this.audit = audit;
    this.orders = orders;
    this.status = status;
    this.clock = clock;
  }

  /**
   * Creates the API.
   *
   * @param follower source of the configuration in force and its history
   * @param publisher publishes configuration changes
   * @param audit the audit trail
   * @param orders sends orders to targets
   * @param status supplies the JSON of the status of sites, groups and targets
   * @param clock the clock for audit entries
   */
  public static OperatorApi create(
      ConfigurationFollower follower,
      ConfigurationPublisher publisher,
      AuditTrail audit,
      TargetOrders orders,
      Supplier<String> status,
      InstantSource clock) {
    return new OperatorApi(follower, publisher, audit, orders, status, clock);
  }

  /**
   * Answers a call.
   *
   * @param call the authenticated call
   * @return the answer; the future never fails
   */
  public CompletableFuture<OperatorAnswer> answer(OperatorCall call) {
    CompletableFuture<String> body;
    try {
      body = route(call);
    } catch (ResultException e) {
      body = CompletableFuture.failedFuture(e);
    }
    return body.handle(
        (json, failure) ->
            failure == null
                ? new OperatorAnswer(ResultCode.OK, "application/json", json, Optional.empty())
                : errorAnswer(failure));
  }

  private CompletableFuture<String> route(OperatorCall call) {
    if (call.path().startsWith("/targets/")) {
      return sendOrder(call);
    }
    if (call.path().startsWith("/zones/")) {
      return changeZone(call);
    }
    if (call.path().equals("/configuration") && call.method().equals("POST")) {
      return publish(call);
    }
    requireMethod(call, "GET");
    return switch (call.path()) {
      case "/configuration" -> completed(configurationJson(call));
      case "/configuration/diff" -> completed(differenceJson(call));
      case "/history" -> completed(historyJson());
      case "/audit" -> audit.last(MAXIMUM_AUDIT_ENTRIES).thenApply(OperatorApi::auditJson);
      case "/status" -> CompletableFuture.completedFuture(status.get());
      default -> throw new ResultException(ResultCode.NOT_FOUND, "no path " + call.path());
    };
  }

  private static CompletableFuture<String> completed(JsonNode node) {
    return CompletableFuture.completedFuture(node.toString());
  }

  private static void requireMethod(OperatorCall call, String method) {
    if (!call.method().equals(method)) {
      throw new ResultException(
          ResultCode.METHOD_NOT_ALLOWED, call.path() + " takes " + method + " only");
    }
  }

  private static void requireOperator(OperatorCall call) {
    if (call.operator().role() == Role.VIEWER) {
      throw new ResultException(
          ResultCode.FORBIDDEN, call.operator().name() + " is a viewer; operator is needed");
    }
  }

  private JsonNode configurationJson(OperatorCall call) {
    ConfigurationState state =
        call.query().containsKey("revision") ? stateOfRevision(call, "revision") : follower.state();
    ObjectNode node =
        Json.object()
            .put("revision", state.revision())
            .put("hash", state.hash())
            .put("recordId", state.recordId())
            .put("author", state.author())
            .put("at", state.at().toString())
            .put("base", state.base());
    ObjectNode overlays = node.putObject("overlays");
    EvacuatedZonesPart.overlaysOfSites(state)
        .forEach((site, source) -> overlays.put(site, source.text()));
    ArrayNode zones = node.putArray("evacuatedZones");
    EvacuatedZonesPart.zones(state).stream().sorted().forEach(zones::add);
    return node;
  }

  private JsonNode differenceJson(OperatorCall call) {
    ConfigurationState from = stateOfRevision(call, "from");
    ConfigurationState to =
        call.query().containsKey("to") ? stateOfRevision(call, "to") : follower.state();
    ObjectNode node = Json.object().put("from", from.revision()).put("to", to.revision());
    return node.set("changes", ConfigurationDifference.between(from, to));
  }

  private ConfigurationState stateOfRevision(OperatorCall call, String parameter) {
    String text = call.query().getOrDefault(parameter, "");
    if (!text.matches("\\d{1,18}")) {
      throw new ResultException(
          ResultCode.MALFORMED_REQUEST, "the parameter " + parameter + " must be a revision");
    }
    return follower
        .state(Long.parseLong(text))
        .orElseThrow(
            () ->
                new ResultException(
                    ResultCode.REVISION_UNKNOWN,
                    "revision " + text + " is not remembered here; see the history"));
  }

  private JsonNode historyJson() {
    ArrayNode array = Json.array();
    follower.events().forEach(event -> array.insert(0, eventJson(event)));
    return Json.object().put("revision", follower.state().revision()).set("events", array);
  }

  private static JsonNode eventJson(ConfigurationEvent event) {
    return Json.object()
        .put("revision", event.revision())
        .put("result", event.result().name())
        .put("part", partName(event.site()))
        .put("author", event.author())
        .put("at", event.at().toString())
        .put("basedOnRevision", event.basedOnRevision())
        .put("recordId", event.recordId())
        .put("offset", event.offset())
        .put("detail", event.detail());
  }

  private static String partName(String site) {
    return site.isEmpty()
        ? "base"
        : EvacuatedZonesPart.displayName(site).orElse(OVERLAY_PREFIX + site);
  }

  private static String auditJson(List<AuditEntry> entries) {
    ArrayNode array = Json.array();
    entries.forEach(entry -> array.insert(0, AuditTrail.toJson(entry)));
    return Json.object().set("entries", array).toString();
  }

  private CompletableFuture<String> publish(OperatorCall call) {
    requireOperator(call);
    JsonNode body =
        Json.parse(call.body().getBytes(UTF_8))
            .filter(OperatorApi::isPublishRequest)
            .orElseThrow(
                () ->
                    new ResultException(
                        ResultCode.MALFORMED_REQUEST,
                        "expected {\"kind\": \"base\" or \"overlay:SITE\", \"basedOnRevision\":"
                            + " number, \"content\": text}"));
    String kind = body.path("kind").asText();
    String site = kind.equals("base") ? "" : kind.substring(OVERLAY_PREFIX.length());
    long basedOnRevision = body.path("basedOnRevision").asLong();
    String author = call.operator().name();
    return publisher
        .publish(site, body.path("content").asText(), basedOnRevision, author)
        .whenComplete(
            (result, failure) ->
                recordInAuditTrail(call, "publish", kind, basedOnRevision, failure))
        .thenApply(
            result ->
                Json.object()
                    .put("revision", result.revision())
                    .put("recordId", result.recordId())
                    .toString());
  }

  private static boolean isPublishRequest(JsonNode body) {
    String kind = body.path("kind").asText();
    boolean isOverlay = kind.startsWith(OVERLAY_PREFIX) && kind.length() > OVERLAY_PREFIX.length();
    return (kind.equals("base") || isOverlay)
        && !kind.equals(OVERLAY_PREFIX + EvacuatedZonesPart.SITE)
        && body.path("basedOnRevision").canConvertToLong()
        && body.path("basedOnRevision").isIntegralNumber()
        && body.path("content").isTextual();
  }

  private CompletableFuture<String> sendOrder(OperatorCall call) {
    String[] parts = call.path().split("/", -1);
    boolean isKnownPath =
        parts.length == 4 && (parts[3].equals("drain") || parts[3].equals("undrain"));
    if (!isKnownPath) {
      throw new ResultException(ResultCode.NOT_FOUND, "no path " + call.path());
    }
    requireMethod(call, "POST");
    requireOperator(call);
    String target = parts[2];
    String order = parts[3];
    long revisionInForce = follower.state().revision();
    return orders
        .send(target, order, call.operator().name())
        .whenComplete(
            (ignored, failure) ->
                recordInAuditTrail(call, order, "target:" + target, revisionInForce, failure))
        .thenApply(ignored -> Json.object().put("target", target).put("order", order).toString());
  }

  private CompletableFuture<String> changeZone(OperatorCall call) {
    String[] parts = call.path().split("/", -1);
    boolean isKnownPath =
        parts.length == 4
            && !parts[2].isEmpty()
            && (parts[3].equals("evacuate") || parts[3].equals("restore"));
    if (!isKnownPath) {
      throw new ResultException(ResultCode.NOT_FOUND, "no path " + call.path());
    }
    requireMethod(call, "POST");
    requireOperator(call);
    String zone = parts[2];
    String action = parts[3];
    String operator = call.operator().name();
    long revisionInForce = follower.state().revision();
    return (action.equals("evacuate")
            ? evacuations.evacuate(zone, operator)
            : evacuations.restore(zone, operator))
        .whenComplete(
            (result, failure) ->
                recordInAuditTrail(call, action, "zone:" + zone, revisionInForce, failure))
        .thenApply(
            result ->
                Json.object()
                    .put("zone", zone)
                    .put("order", action)
                    .put("revision", result.revision())
                    .toString());
  }

  private void recordInAuditTrail(
      OperatorCall call, String action, String subject, long basedOnRevision, Throwable failure) {
    ResultCode result = failure == null ? ResultCode.OK : toResultException(failure).code();
    String detail = failure == null ? "" : toResultException(failure).getMessage();
    audit.add(
        new AuditEntry(
            clock.instant(),
            call.operator().name(),
            action,
            subject,
            basedOnRevision,
            result,
            detail));
  }

  private static ResultException toResultException(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof ResultException result
        ? result
        : new ResultException(ResultCode.INTERNAL, String.valueOf(cause));
  }

  private static OperatorAnswer errorAnswer(Throwable failure) {
    ResultException result = toResultException(failure);
    ObjectNode problem = ProblemDocument.of(result);
    if (result.getCause() instanceof SettingsException settingsFailure) {
      ArrayNode faults = problem.putArray("faults");
      settingsFailure.faults().forEach(fault -> faults.add(faultJson(fault)));
    }
    return new OperatorAnswer(
        result.code(), ProblemDocument.CONTENT_TYPE, problem.toString(), result.retryAt());
  }

  private static JsonNode faultJson(Fault fault) {
    ObjectNode node =
        Json.object()
            .put("file", fault.file())
            .put("line", fault.line())
            .put("column", fault.column())
            .put("path", fault.path())
            .put("problem", fault.problem())
            .put("expected", fault.expected());
    fault.nearestKey().ifPresent(key -> node.put("nearestKey", key));
    return node;
  }
}
