package dev.ibishub.standins;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;

/**
 * Counts endings and measures their times from the intended arrival, so that a request that was
 * sent late because the caller was held up counts with its wait. Thread-safe under its own lock.
 */
final class LoadRecorder {
  private static final long HIGHEST_MICROS = 3_600_000_000L;
  private static final int DIGITS = 3;
  private static final int KEPT_EXAMPLES = 20;
  private static final double MICROS_PER_MILLI = 1000;

  private final Object lock = new Object();
  private final long startNanos;
  private final Histogram firstToken = newHistogram();
  private final Histogram tokenGap = newHistogram();
  private final Histogram total = newHistogram();
  private final Histogram service = newHistogram();
  private final Map<String, Histogram> firstTokenByWorkspace = new TreeMap<>();
  private final Map<String, Integer> outcomes = new TreeMap<>();
  private final Map<Integer, Integer> resultCodes = new TreeMap<>();
  private final List<String> breaches = new ArrayList<>();
  private final List<CallerSession.Ending> endings = new ArrayList<>();
  private int attempts;
  private int resumes;
  private int restarts;
  private int notSent;

  /** Times in milliseconds. */
  record Times(long count, double p50, double p95, double p99, double max) {
    static Times of(Histogram histogram) {
      return new Times(
          histogram.getTotalCount(),
          histogram.getValueAtPercentile(50) / MICROS_PER_MILLI,
          histogram.getValueAtPercentile(95) / MICROS_PER_MILLI,
          histogram.getValueAtPercentile(99) / MICROS_PER_MILLI,
          histogram.getMaxValue() / MICROS_PER_MILLI);
    }
  }

  LoadRecorder(long startNanos) {
    this.startNanos = startNanos;
  }

  void record(CallerSession.Ending ending) {
    synchronized (lock) {
      endings.add(ending);
      outcomes.merge(ending.outcome().name(), 1, Integer::sum);
      resultCodes.merge(ending.resultCode(), 1, Integer::sum);
      attempts += ending.attempts();
      resumes += ending.resumes();
      restarts += ending.restarts();
      if (ending.outcome() == CallerSession.Outcome.DONE) {
        recordTimes(ending);
      } else if (isBreach(ending)) {
        breach(ending.outcome() + " request " + ending.request().number() + ": " + ending.detail());
      }
    }
  }

  void countFault(Exception fault) {
    synchronized (lock) {
      breach("FAULT of the load tool: " + fault);
    }
  }

  void countNotSent() {
    synchronized (lock) {
      notSent++;
    }
  }

  /** Every ending so far. */
  List<CallerSession.Ending> endings() {
    synchronized (lock) {
      return List.copyOf(endings);
    }
  }

  /**
   * Sums up.
   *
   * @param auditBreaches what the audit of the stand-ins found
   */
  LoadReport report(LoadOptions options, List<String> auditBreaches) {
    synchronized (lock) {
      List<String> all = new ArrayList<>(breaches);
      all.addAll(auditBreaches);
      Map<String, Times> byWorkspace = new TreeMap<>();
      firstTokenByWorkspace.forEach((name, times) -> byWorkspace.put(name, Times.of(times)));
      return new LoadReport(
          options.seed(),
          options.rate(),
          options.durationSeconds(),
          endings.size(),
          notSent,
          attempts,
          resumes,
          restarts,
          Map.copyOf(outcomes),
          Map.copyOf(resultCodes),
          Times.of(firstToken),
          Times.of(tokenGap),
          Times.of(total),
          Times.of(service),
          byWorkspace,
          all.size(),
          all.stream().limit(KEPT_EXAMPLES).toList());
    }
  }

  private static Histogram newHistogram() {
    return new Histogram(HIGHEST_MICROS, DIGITS);
  }

  private static boolean isBreach(CallerSession.Ending ending) {
    return ending.outcome() == CallerSession.Outcome.LOST
        || ending.outcome() == CallerSession.Outcome.BREACH;
  }

  private void breach(String detail) {
    breaches.add(detail);
  }

  private void recordTimes(CallerSession.Ending ending) {
    long intended = startNanos + ending.request().intendedNanos();
    long wholeMicros = micros(ending.endNanos() - intended);
    if (!ending.request().forModel()) {
      service.recordValue(wholeMicros);
      return;
    }
    total.recordValue(wholeMicros);
    List<Long> chunks = ending.chunkNanos();
    if (chunks.isEmpty()) {
      return;
    }
    long first = micros(chunks.get(0) - intended);
    firstToken.recordValue(first);
    firstTokenByWorkspace
        .computeIfAbsent(ending.request().workspace().name(), unused -> newHistogram())
        .recordValue(first);
    IntStream.range(1, chunks.size())
        .forEach(next -> tokenGap.recordValue(micros(chunks.get(next) - chunks.get(next - 1))));
  }

  private static long micros(long nanos) {
    return Math.min(HIGHEST_MICROS, Math.max(0, nanos / 1000));
  }
}
