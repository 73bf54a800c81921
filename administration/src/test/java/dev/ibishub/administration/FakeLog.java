package dev.ibishub.administration;

import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import dev.ibishub.outbound.AppendOnlyLog;
import dev.ibishub.outbound.LogPage;
import dev.ibishub.outbound.LogRecord;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** One stream in memory, whose faults a test sets. Reads wait until a record or a fault comes. */
final class FakeLog implements AppendOnlyLog {
  /** What becomes of an append. */
  enum AppendFault {
    NONE,
    REFUSED,
    ANSWER_LOST,
    RECORD_AND_ANSWER_LOST
  }

  private final List<LogRecord> records = new ArrayList<>();
  private final List<WaitingRead> waiting = new ArrayList<>();
  private AppendFault appendFault = AppendFault.NONE;
  private boolean readable = true;
  private long firstKept;

  private record WaitingRead(CompletableFuture<LogPage> answer, Supplier<LogPage> page) {}

  synchronized void failAppends(AppendFault fault) {
    appendFault = fault;
  }

  synchronized void keepFrom(long offset) {
    firstKept = offset;
    wake();
  }

  synchronized void readable(boolean value) {
    readable = value;
    wake();
  }

  synchronized void add(byte[] record) {
    records.add(new LogRecord(records.size(), Instant.EPOCH, record));
    wake();
  }

  @Override
  public synchronized CompletableFuture<Long> append(String stream, byte[] record) {
    if (appendFault == AppendFault.REFUSED) {
      return failed(ResultCode.LOG_UNAVAILABLE);
    }
    if (appendFault != AppendFault.RECORD_AND_ANSWER_LOST) {
      add(record);
    }
    return appendFault == AppendFault.NONE
        ? CompletableFuture.completedFuture(records.size() - 1L)
        : failed(ResultCode.OUTCOME_UNKNOWN);
  }

  @Override
  public synchronized CompletableFuture<LogPage> read(
      String stream, long fromOffset, int maximumRecords, Instant waitUntil) {
    if (!readable) {
      return failed(ResultCode.LOG_UNAVAILABLE);
    }
    Supplier<LogPage> page = () -> page(fromOffset, maximumRecords);
    if (fromOffset < records.size() || !waitUntil.isAfter(Instant.now())) {
      return CompletableFuture.completedFuture(page.get());
    }
    CompletableFuture<LogPage> answer = new CompletableFuture<>();
    waiting.add(new WaitingRead(answer, page));
    return answer;
  }

  private LogPage page(long fromOffset, int maximumRecords) {
    List<LogRecord> found =
        records.stream()
            .filter(record -> record.offset() >= Math.max(fromOffset, firstKept))
            .limit(maximumRecords)
            .toList();
    return new LogPage(firstKept, records.size(), found);
  }

  /** What each read gets is settled here, under the lock; only the telling is left to others. */
  private void wake() {
    List<Runnable> tellings = waiting.stream().map(this::settle).toList();
    waiting.clear();
    tellings.forEach(CompletableFuture::runAsync);
  }

  private Runnable settle(WaitingRead read) {
    if (!readable) {
      ResultException outage = new ResultException(ResultCode.LOG_UNAVAILABLE, "set by the test");
      return () -> read.answer().completeExceptionally(outage);
    }
    LogPage page = read.page().get();
    return () -> read.answer().complete(page);
  }

  private static <T> CompletableFuture<T> failed(ResultCode code) {
    return CompletableFuture.failedFuture(new ResultException(code, "set by the test"));
  }
}
