package dev.ibishub.standins;

import com.fasterxml.jackson.databind.JsonNode;
import dev.ibishub.outbound.OutboundJson;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * Compares the outcomes that callers received with what the stand-ins executed.
 *
 * <p>An idempotency key runs at most once, a call reported as done ran exactly once, and an attempt
 * that was refused as not run never ran.
 */
final class ExecutionAudit {
  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  private final HttpClient client;
  private final Map<String, Integer> executionsByKey = new HashMap<>();
  private final Set<String> executedRequests = new HashSet<>();
  private final NavigableSet<String> startedStreams = new TreeSet<>();

  private ExecutionAudit(HttpClient client) {
    this.client = client;
  }

  /**
   * Reads the records of the stand-ins and compares them with the outcomes.
   *
   * @return the breaches found, empty for none; a stand-in that cannot be read is one
   */
  static List<String> check(
      HttpClient client, LoadOptions options, List<CallerSession.Ending> endings)
      throws InterruptedException {
    ExecutionAudit audit = new ExecutionAudit(client);
    List<String> breaches = new ArrayList<>();
    try {
      for (URI service : options.serviceAuditUrls()) {
        audit.readService(service);
      }
      for (URI engine : options.engineAuditUrls()) {
        audit.readEngine(engine);
      }
    } catch (IOException e) {
      breaches.add("AUDIT unreadable: " + e);
    }
    if (!options.serviceAuditUrls().isEmpty()) {
      breaches.addAll(audit.keyBreaches(endings));
    }
    breaches.addAll(audit.notRunBreaches(endings));
    return breaches;
  }

  private void readService(URI service) throws IOException, InterruptedException {
    ServiceStandIn.Audit audit =
        OutboundJson.read(get(service, "/control/executions"), ServiceStandIn.Audit.class);
    audit.executions().forEach(execution -> executedRequests.add(execution.requestId()));
    audit.byKey().forEach((key, count) -> executionsByKey.merge(key, count, Integer::sum));
  }

  private void readEngine(URI engine) throws IOException, InterruptedException {
    JsonNode audit = OutboundJson.readTree(get(engine, "/control/streams"));
    audit.path("started").forEach(id -> startedStreams.add(id.asText()));
  }

  private byte[] get(URI base, String path) throws IOException, InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create(base + path)).timeout(TIMEOUT).GET().build();
    return client.send(request, HttpResponse.BodyHandlers.ofByteArray()).body();
  }

  private List<String> keyBreaches(List<CallerSession.Ending> endings) {
    return endings.stream()
        .filter(ending -> ending.request().idempotencyKey().isPresent())
        .filter(this::contradicts)
        .map(
            ending ->
                "EXECUTIONS "
                    + executions(ending)
                    + " of "
                    + ending.request().idempotencyKey().get()
                    + ", told "
                    + ending.outcome())
        .collect(Collectors.toList());
  }

  private boolean contradicts(CallerSession.Ending ending) {
    int executions = executions(ending);
    return switch (ending.outcome()) {
      case DONE -> executions != 1;
      case NOT_RUN -> executions != 0;
      case OUTCOME_UNKNOWN, LOST, LEFT, BREACH -> executions > 1;
    };
  }

  private int executions(CallerSession.Ending ending) {
    return executionsByKey.getOrDefault(ending.request().idempotencyKey().orElseThrow(), 0);
  }

  // An engine's stream id is the entry's request id, a dot, and the number of the attempt.
  private List<String> notRunBreaches(List<CallerSession.Ending> endings) {
    return endings.stream()
        .flatMap(ending -> ending.notRunIds().stream())
        .filter(this::started)
        .map(id -> "RAN though refused as not run: " + id)
        .collect(Collectors.toList());
  }

  private boolean started(String requestId) {
    String prefix = requestId + ".";
    String first = startedStreams.ceiling(prefix);
    return executedRequests.contains(requestId) || (first != null && first.startsWith(prefix));
  }
}
