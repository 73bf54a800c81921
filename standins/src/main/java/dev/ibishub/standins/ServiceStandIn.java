package dev.ibishub.standins;

import dev.ibishub.engines.HttpPlainService;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A plain service that echoes each call and records its execution, so that an audit can count
 * executions. Thread-safe.
 */
final class ServiceStandIn {
  private final Object lock = new Object();
  private final List<Execution> executions = new ArrayList<>();
  private final long delayMillis;

  /** One executed call. */
  record Execution(
      String requestId, String idempotencyKey, String method, String path, Instant ranAt) {}

  /**
   * The answer to {@code GET /control/executions}; the map counts the executions of each
   * idempotency key.
   */
  record Audit(int count, Map<String, Integer> byKey, List<Execution> executions) {}

  /** The answer to a call: the call itself and the number of executions so far. */
  record Echo(String method, String path, String body, int count) {}

  ServiceStandIn(long delayMillis) {
    this.delayMillis = delayMillis;
  }

  StandInReply handle(StandInRequest request) throws InterruptedException {
    if (request.is("GET", "/control/executions")) {
      return StandInReply.json(audit());
    }
    int count = execute(request);
    Thread.sleep(delayMillis);
    return StandInReply.json(
        new Echo(
            request.method(),
            request.uri().toString(),
            new String(request.body(), StandardCharsets.UTF_8),
            count));
  }

  private int execute(StandInRequest request) {
    Execution execution =
        new Execution(
            request.header(HttpPlainService.REQUEST_ID_HEADER),
            request.header("Idempotency-Key"),
            request.method(),
            request.uri().toString(),
            Instant.now());
    synchronized (lock) {
      executions.add(execution);
      return executions.size();
    }
  }

  private Audit audit() {
    synchronized (lock) {
      Map<String, Integer> byKey = new TreeMap<>();
      executions.stream()
          .filter(execution -> !execution.idempotencyKey().isEmpty())
          .forEach(execution -> byKey.merge(execution.idempotencyKey(), 1, Integer::sum));
      return new Audit(executions.size(), byKey, List.copyOf(executions));
    }
  }
}
