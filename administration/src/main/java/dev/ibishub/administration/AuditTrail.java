package dev.ibishub.administration;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.flogger.FluentLogger;
import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import dev.ibishub.outbound.AppendOnlyLog;
import dev.ibishub.outbound.LogPage;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.stream.Stream;

/**
 * Audit trail of operators' actions, stored on a stream of the log because VMs store nothing
 * durably. Thread-safe.
 *
 * <p>An entry that the log refused stays in the memory of this process, is included in reads, and
 * is sent again with the next entry. Each entry is also written to the process's own log.
 */
public final class AuditTrail {
  /** Name of the log stream that stores the trail. */
  public static final String STREAM = "audit";

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MAXIMUM_UNSENT_ENTRIES = 1_000;

  private final AppendOnlyLog log;
  private final Deque<AuditEntry> unsent = new ArrayDeque<>();

  private AuditTrail(AppendOnlyLog log) {
    this.log = log;
  }

  /** Returns a trail that is stored on the given log. */
  public static AuditTrail on(AppendOnlyLog log) {
    return new AuditTrail(log);
  }

  /** Adds an entry and sends it to the log with all unsent ones. */
  public void add(AuditEntry entry) {
    logger.atInfo().log(
        "event=audit operator=%s action=%s subject=%s based_on=%d code=%d",
        entry.operator(),
        entry.action(),
        entry.subject(),
        entry.basedOnRevision(),
        entry.result().number());
    List<AuditEntry> batch;
    synchronized (unsent) {
      unsent.addLast(entry);
      batch = List.copyOf(unsent);
      unsent.clear();
    }
    batch.forEach(this::send);
  }

  /**
   * Reads the latest entries.
   *
   * @param limit the maximum number of entries to read from the log
   * @return the entries, oldest first, followed by the unsent ones; fails with {@code
   *     LOG_UNAVAILABLE}
   */
  public CompletableFuture<List<AuditEntry>> last(int limit) {
    return log.read(STREAM, 0, 1, Instant.EPOCH)
        .thenCompose(
            page -> {
              long from = Math.max(page.firstKept(), page.nextOffset() - limit);
              return log.read(STREAM, from, limit, Instant.EPOCH);
            })
        .thenApply(page -> Stream.concat(decode(page), unsentEntries().stream()).toList());
  }

  private void send(AuditEntry entry) {
    log.append(STREAM, Json.bytes(toJson(entry)))
        .whenComplete(
            (offset, failure) -> {
              if (failure != null && isKnownNotAppended(failure)) {
                keepUnsent(entry);
              }
            });
  }

  /**
   * Tells whether a failed append had no effect. After any other failure the entry may be on the
   * log, and is not appended again.
   */
  private static boolean isKnownNotAppended(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof ResultException result && result.code() == ResultCode.LOG_UNAVAILABLE;
  }

  private void keepUnsent(AuditEntry entry) {
    synchronized (unsent) {
      unsent.addLast(entry);
      if (unsent.size() > MAXIMUM_UNSENT_ENTRIES) {
        unsent.removeFirst();
      }
    }
  }

  private List<AuditEntry> unsentEntries() {
    synchronized (unsent) {
      return List.copyOf(unsent);
    }
  }

  private static Stream<AuditEntry> decode(LogPage page) {
    return page.records().stream()
        .map(record -> Json.parse(record.payload()).flatMap(AuditTrail::fromJson))
        .flatMap(Optional::stream);
  }

  static JsonNode toJson(AuditEntry entry) {
    return Json.object()
        .put("at", entry.at().toString())
        .put("operator", entry.operator())
        .put("action", entry.action())
        .put("subject", entry.subject())
        .put("basedOnRevision", entry.basedOnRevision())
        .put("code", entry.result().number())
        .put("result", entry.result().name())
        .put("detail", entry.detail());
  }

  private static Optional<AuditEntry> fromJson(JsonNode node) {
    try {
      return Optional.of(
          new AuditEntry(
              Instant.parse(node.path("at").asText()),
              node.path("operator").asText(),
              node.path("action").asText(),
              node.path("subject").asText(),
              node.path("basedOnRevision").asLong(),
              ResultCode.ofNumber(node.path("code").asInt()).orElse(ResultCode.INTERNAL),
              node.path("detail").asText()));
    } catch (DateTimeException e) {
      return Optional.empty();
    }
  }
}
