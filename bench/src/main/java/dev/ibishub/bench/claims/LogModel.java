package dev.ibishub.bench.claims;

import dev.ibishub.bench.model.EventQueue;
import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import dev.ibishub.outbound.AppendOnlyLog;
import dev.ibishub.outbound.LogPage;
import dev.ibishub.outbound.LogRecord;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;

/** Model of a log with one stream, a latency and a token bucket on appends. Not thread-safe. */
final class LogModel implements AppendOnlyLog {
  static final double APPENDS_PER_SECOND = 300;
  private static final double BURST_APPENDS = 30;
  private static final double ONE_WAY_SECONDS = 0.0015;
  private static final double MEAN_WRITE_SECONDS = 0.004;

  private final EventQueue events;
  private final RandomGenerator random;
  private final List<byte[]> records = new ArrayList<>();
  private final List<Runnable> pendingReads = new ArrayList<>();
  private double tokens = BURST_APPENDS;
  private double tokensAt;
  private long appends;

  LogModel(EventQueue events, RandomGenerator random) {
    this.events = events;
    this.random = random;
  }

  long appends() {
    return appends;
  }

  @Override
  public CompletableFuture<Long> append(String stream, byte[] record) {
    CompletableFuture<Long> answer = new CompletableFuture<>();
    events.after(ONE_WAY_SECONDS, () -> accept(record, answer));
    return answer;
  }

  @Override
  public CompletableFuture<LogPage> read(
      String stream, long fromOffset, int maximumRecords, Instant waitUntil) {
    CompletableFuture<LogPage> answer = new CompletableFuture<>();
    events.after(
        ONE_WAY_SECONDS, () -> answerRead((int) fromOffset, maximumRecords, waitUntil, answer));
    return answer;
  }

  private void accept(byte[] record, CompletableFuture<Long> answer) {
    if (!takeToken()) {
      ResultException refusal =
          new ResultException(ResultCode.LOG_UNAVAILABLE, "too many appends a second");
      events.after(ONE_WAY_SECONDS, () -> answer.completeExceptionally(refusal));
      return;
    }
    appends++;
    double writing = MEAN_WRITE_SECONDS * -Math.log(1 - random.nextDouble());
    events.after(writing, () -> write(record, answer));
  }

  private void write(byte[] record, CompletableFuture<Long> answer) {
    long offset = records.size();
    records.add(record);
    events.after(ONE_WAY_SECONDS, () -> answer.complete(offset));
    List<Runnable> pending = List.copyOf(pendingReads);
    pendingReads.clear();
    pending.forEach(Runnable::run);
  }

  private void answerRead(
      int from, int maximum, Instant waitUntil, CompletableFuture<LogPage> answer) {
    if (from >= records.size() && waitUntil.isAfter(events.now())) {
      pendingReads.add(() -> answerRead(from, maximum, waitUntil, answer));
      return;
    }
    List<LogRecord> page = new ArrayList<>();
    for (int at = from; at < Math.min(records.size(), from + maximum); at++) {
      page.add(new LogRecord(at, events.now(), records.get(at)));
    }
    LogPage whole = new LogPage(0, records.size(), page);
    events.after(ONE_WAY_SECONDS, () -> answer.complete(whole));
  }

  private boolean takeToken() {
    double now = events.seconds();
    tokens = Math.min(BURST_APPENDS, tokens + (now - tokensAt) * APPENDS_PER_SECOND);
    tokensAt = now;
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
