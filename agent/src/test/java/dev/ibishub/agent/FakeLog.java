package dev.ibishub.agent;

import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import dev.ibishub.outbound.AppendOnlyLog;
import dev.ibishub.outbound.LogPage;
import dev.ibishub.outbound.LogRecord;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Log with one stream that answers each call when the test runs it from {@link #calls}. Not
 * thread-safe.
 */
final class FakeLog implements AppendOnlyLog {
  final Deque<Runnable> calls = new ArrayDeque<>();
  final List<byte[]> records = new ArrayList<>();
  private final List<Runnable> heldReads = new ArrayList<>();
  private final InstantSource clock;
  boolean down;
  boolean loseAnswers;
  int firstKept;
  int appends;

  FakeLog(InstantSource clock) {
    this.clock = clock;
  }

  @Override
  public CompletableFuture<Long> append(String stream, byte[] record) {
    CompletableFuture<Long> answer = new CompletableFuture<>();
    calls.add(() -> takeAppend(record, answer));
    return answer;
  }

  @Override
  public CompletableFuture<LogPage> read(
      String stream, long fromOffset, int maximumRecords, Instant waitUntil) {
    CompletableFuture<LogPage> answer = new CompletableFuture<>();
    calls.add(() -> takeRead((int) fromOffset, maximumRecords, waitUntil, answer));
    return answer;
  }

  /** Appends a record directly, as if another agent had written it. */
  void add(byte[] record) {
    records.add(record);
    calls.addAll(heldReads);
    heldReads.clear();
  }

  private void takeAppend(byte[] record, CompletableFuture<Long> answer) {
    appends++;
    if (down) {
      answer.completeExceptionally(new ResultException(ResultCode.LOG_UNAVAILABLE, "outage"));
      return;
    }
    add(record);
    if (loseAnswers) {
      answer.completeExceptionally(new ResultException(ResultCode.OUTCOME_UNKNOWN, "lost"));
    } else {
      answer.complete(records.size() - 1L);
    }
  }

  private void takeRead(
      int from, int maximum, Instant waitUntil, CompletableFuture<LogPage> answer) {
    if (down) {
      answer.completeExceptionally(new ResultException(ResultCode.LOG_UNAVAILABLE, "outage"));
      return;
    }
    int start = Math.max(from, firstKept);
    int end = Math.min(records.size(), start + maximum);
    if (start >= end && waitUntil.isAfter(clock.instant())) {
      heldReads.add(() -> takeRead(from, maximum, waitUntil, answer));
      return;
    }
    List<LogRecord> page = new ArrayList<>();
    for (int offset = start; offset < end; offset++) {
      page.add(new LogRecord(offset, Instant.EPOCH, records.get(offset)));
    }
    answer.complete(new LogPage(firstKept, records.size(), page));
  }
}
