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
 * What operators did, kept on a stream of the log, as no VM keeps anything. Thread-safe.
 *
 * <p>An entry that the log did not take stays in the memory of this process, is shown from there,
 * and goes to the log with the next one. Each entry is also a line of the process's own log.
 */
public final class AuditTrail {
  /** The name of the stream that carries the trail. */
  public static final String STREAM = "audit";

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MAXIMUM_UNSENT = 1_000;

  private final AppendOnlyLog log;
  private final Deque<AuditEntry> unsent = new ArrayDeque<>();

  private AuditTrail(AppendOnlyLog log) {
    this.log = log;
  }

  /** Returns a trail that is kept on the given log. */
  public static AuditTrail on(AppendOnlyLog log) {
    return new AuditTrail(log);
  }

  /** Adds an entry. */
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
   * Reads the last entries.
   *
   * @param limit the most entries wanted
   * @return the entries, oldest first; fails with {@code LOG_UNAVAILABLE}
   */
  public CompletableFuture<List<AuditEntry>> last(int limit) {
    return log.read(STREAM, 0, 1, Instant.EPOCH)
        .thenCompose(
            page -> {
              long from = Math.max(page.firstKept(), page.nextOffset() - limit);
              return log.read(STREAM, from, limit, Instant.EPOCH);
            })
        .thenApply(page -> Stream.concat(decoded(page), kept().stream()).toList());
  }

  private void send(AuditEntry entry) {
    log.append(STREAM, Json.bytes(toJson(entry)))
        .whenComplete(
            (offset, failure) -> {
              if (failure != null && wasSurelyNotAppended(failure)) {
                keep(entry);
              }
            });
  }

  /** Tells a refusal from a lost answer: what may have been appended is not appended again. */
  private static boolean wasSurelyNotAppended(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof ResultException result && result.code() == ResultCode.LOG_UNAVAILABLE;
  }

  private void keep(AuditEntry entry) {
    synchronized (unsent) {
      unsent.addLast(entry);
      if (unsent.size() > MAXIMUM_UNSENT) {
        unsent.removeFirst();
      }
    }
  }

  private List<AuditEntry> kept() {
    synchronized (unsent) {
      return List.copyOf(unsent);
    }
  }

  private static Stream<AuditEntry> decoded(LogPage page) {
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
