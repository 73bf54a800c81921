package dev.ibishub.standins;

import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import dev.ibishub.outbound.HttpAppendOnlyLog;
import dev.ibishub.outbound.LogPage;
import dev.ibishub.outbound.LogRecord;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The append-only log. Thread-safe: one lock guards all streams. */
final class LogStandIn {
  private static final String PREFIX = "/v1/streams/";
  private static final String SUFFIX = "/records";

  private final Object lock = new Object();
  private final Map<String, Stream> streams = new HashMap<>();
  private final Options options;
  private Instant theoreticalArrival = Instant.MIN;
  private long refusedByRate;

  /**
   * Limits of the log.
   *
   * @param retainedRecords maximum number of records that a stream keeps
   * @param retainedMillis retention time of a record, in milliseconds
   * @param appendsPerSecond maximum rate of appends per second, over all streams
   * @param burst number of appends that may come at once
   */
  record Options(int retainedRecords, long retainedMillis, int appendsPerSecond, int burst) {
    static Options defaults() {
      return new Options(100_000, Duration.ofHours(24).toMillis(), 500, 50);
    }
  }

  private static final class Stream {
    private final List<LogRecord> records = new ArrayList<>();
    private long firstKept;

    private long nextOffset() {
      return firstKept + records.size();
    }
  }

  /**
   * The answer to {@code GET /control/log}: the number of records ever appended to each stream, and
   * of appends that the rate limit refused.
   */
  record Audit(Map<String, Long> appended, long refusedByRate) {}

  LogStandIn(Options options) {
    this.options = options;
  }

  StandInReply handle(StandInRequest request) throws InterruptedException {
    if (request.is("GET", "/control/log")) {
      return StandInReply.json(audit());
    }
    String raw = request.uri().getRawPath();
    if (!raw.startsWith(PREFIX) || !raw.endsWith(SUFFIX)) {
      return StandInReply.refusal(ResultCode.NOT_FOUND, "no such path");
    }
    String name =
        URLDecoder.decode(
            raw.substring(PREFIX.length(), raw.length() - SUFFIX.length()), StandardCharsets.UTF_8);
    if (request.method().equals("POST")) {
      return StandInReply.json(new HttpAppendOnlyLog.Appended(append(name, request.body())));
    }
    Instant waitUntil = Instant.now().plusMillis(request.number("waitMillis", 0));
    int maximum = (int) Math.min(10_000, request.number("maximum", 1000));
    return StandInReply.json(read(name, request.number("from", 0), maximum, waitUntil));
  }

  private long append(String name, byte[] payload) {
    synchronized (lock) {
      Instant now = Instant.now();
      admit(now);
      Stream stream = stream(name, now);
      long offset = stream.nextOffset();
      stream.records.add(new LogRecord(offset, now, payload));
      lock.notifyAll();
      return offset;
    }
  }

  // Generic cell rate algorithm: each append moves the theoretical arrival time of the next one by
  // one interval.
  private void admit(Instant now) {
    Duration interval = Duration.ofSeconds(1).dividedBy(options.appendsPerSecond());
    Instant due = theoreticalArrival.isBefore(now) ? now : theoreticalArrival;
    Instant allowedAt = due.minus(interval.multipliedBy(options.burst()));
    if (allowedAt.isAfter(now)) {
      refusedByRate++;
      throw new ResultException(
          ResultCode.LOG_UNAVAILABLE, "append rate limit", allowedAt.plusMillis(1));
    }
    theoreticalArrival = due.plus(interval);
  }

  private LogPage read(String name, long from, int maximum, Instant waitUntil)
      throws InterruptedException {
    synchronized (lock) {
      while (stream(name, Instant.now()).nextOffset() <= from) {
        long millis = Duration.between(Instant.now(), waitUntil).toMillis();
        if (millis <= 0) {
          break;
        }
        lock.wait(millis);
      }
      Stream stream = stream(name, Instant.now());
      int skipped = (int) Math.min(stream.records.size(), Math.max(0, from - stream.firstKept));
      List<LogRecord> page = stream.records.stream().skip(skipped).limit(maximum).toList();
      return new LogPage(stream.firstKept, stream.nextOffset(), page);
    }
  }

  private Stream stream(String name, Instant now) {
    Stream stream = streams.computeIfAbsent(name, unused -> new Stream());
    Instant oldest = now.minusMillis(options.retainedMillis());
    int drop = Math.max(0, stream.records.size() - options.retainedRecords());
    while (drop < stream.records.size() && stream.records.get(drop).appendedAt().isBefore(oldest)) {
      drop++;
    }
    stream.records.subList(0, drop).clear();
    stream.firstKept += drop;
    return stream;
  }

  private Audit audit() {
    synchronized (lock) {
      Map<String, Long> appended = new HashMap<>();
      streams.forEach((name, stream) -> appended.put(name, stream.nextOffset()));
      return new Audit(appended, refusedByRate);
    }
  }
}
