package dev.ibishub.standins;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;

/**
 * Counts request outcomes and records latencies, measured from the intended arrival.
 *
 * <p>The wait of a request that is sent late because the load tool was held up therefore counts as
 * latency. Thread-safe under its own lock.
 */
final class LoadRecorder {
  private static final long HIGHEST_MICROS = 3_600_000_000L;
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final int MAXIMUM_EXAMPLES = 20;
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

  /** Number of recorded times, with percentiles and maximum in milliseconds. */
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
        addBreach(
            ending.outcome() + " request " + ending.request().number() + ": " + ending.detail());
      }
    }
  }

  void countFault(Exception fault) {
    synchronized (lock) {
      addBreach("FAULT of the load tool: " + fault);
    }
  }

  void countNotSent() {
    synchronized (lock) {
      notSent++;
    }
  }

  /** Returns the endings recorded so far. */
  List<CallerSession.Ending> endings() {
    synchronized (lock) {
      return List.copyOf(endings);
    }
  }

  /**
   * Creates the report of the run.
   *
   * @param auditBreaches breaches that the audit of the stand-ins found
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
          all.stream().limit(MAXIMUM_EXAMPLES).toList());
    }
  }

  private static Histogram newHistogram() {
    return new Histogram(HIGHEST_MICROS, SIGNIFICANT_DIGITS);
  }

  private static boolean isBreach(CallerSession.Ending ending) {
    return ending.outcome() == CallerSession.Outcome.LOST
        || ending.outcome() == CallerSession.Outcome.BREACH;
  }

  private void addBreach(String detail) {
    breaches.add(detail);
  }

  private void recordTimes(CallerSession.Ending ending) {
    long intendedArrivalNanos = startNanos + ending.request().intendedNanos();
    long totalMicros = micros(ending.endNanos() - intendedArrivalNanos);
    if (!ending.request().forModel()) {
      service.recordValue(totalMicros);
      return;
    }
    total.recordValue(totalMicros);
    List<Long> chunks = ending.chunkNanos();
    if (chunks.isEmpty()) {
      return;
    }
    long firstTokenMicros = micros(chunks.get(0) - intendedArrivalNanos);
    firstToken.recordValue(firstTokenMicros);
    firstTokenByWorkspace
        .computeIfAbsent(ending.request().workspace().name(), unused -> newHistogram())
        .recordValue(firstTokenMicros);
    IntStream.range(1, chunks.size())
        .forEach(next -> tokenGap.recordValue(micros(chunks.get(next) - chunks.get(next - 1))));
  }

  private static long micros(long nanos) {
    return Math.min(HIGHEST_MICROS, Math.max(0, nanos / 1000));
  }
}
