package dev.ibishub.bench.claims;

import dev.ibishub.agent.ClaimWriter;
import dev.ibishub.agent.ClaimWriterOptions;
import dev.ibishub.agent.Timer;
import dev.ibishub.bench.model.EventQueue;
import dev.ibishub.core.ClaimRequest;
import dev.ibishub.core.ClaimResult;
import dev.ibishub.core.IdempotencyKey;
import dev.ibishub.core.ProcessIncarnation;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;

/** Simulation of agents that claim Poisson arrivals of calls on one log. Not thread-safe. */
final class ClaimRun {
  static final int AGENTS = 3;
  private static final double DURATION_SECONDS = 20;
  private static final double WARM_UP_SECONDS = 1;
  private static final double NANOS_PER_SECOND = 1e9;

  private final EventQueue events = new EventQueue();
  private final RandomGenerator random;
  private final LogModel log;
  private final List<ClaimWriter> writers;
  private final Histogram waitNanos = new Histogram(TimeUnit.MINUTES.toNanos(1), 3);
  private final double callsPerSecond;
  private int calls;
  private int refused;

  /**
   * The results of a run.
   *
   * @param appendsPerSecond appends a second that the log accepted from all agents
   * @param claimsPerAppend mean number of claims in one append
   * @param p50Millis median latency that the claim adds to a call, in milliseconds
   * @param p99Millis 99th percentile of that latency, in milliseconds
   * @param refusedShare share of the calls refused as not run
   */
  record Result(
      double appendsPerSecond,
      double claimsPerAppend,
      double p50Millis,
      double p99Millis,
      double refusedShare) {}

  private ClaimRun(ClaimWriterOptions options, double callsPerSecond, long seed) {
    this.random = new Random(seed);
    this.callsPerSecond = callsPerSecond;
    this.log = new LogModel(events, random);
    Timer timer = (when, task) -> events.after(secondsUntil(when), task);
    this.writers =
        IntStream.range(0, AGENTS)
            .mapToObj(number -> new ProcessIncarnation("agent-" + number, 1))
            .map(self -> ClaimWriter.start(log, self, options, events::now, timer))
            .toList();
  }

  static Result run(ClaimWriterOptions options, double callsPerSecond, long seed) {
    ClaimRun run = new ClaimRun(options, callsPerSecond, seed);
    run.events.after(WARM_UP_SECONDS, run::arrive);
    run.events.runUntil(WARM_UP_SECONDS + DURATION_SECONDS);
    return run.result();
  }

  /** Returns options under which each append carries one claim and none waits for others. */
  static ClaimWriterOptions ungrouped() {
    ClaimWriterOptions grouped = ClaimWriterOptions.defaults();
    return new ClaimWriterOptions(
        grouped.buckets(),
        grouped.ledger(),
        1,
        Duration.ZERO,
        grouped.confirmationTimeout(),
        grouped.longPoll(),
        grouped.readBackoff());
  }

  private void arrive() {
    events.after(-Math.log(1 - random.nextDouble()) / callsPerSecond, this::arrive);
    int number = calls++;
    IdempotencyKey key = IdempotencyKey.parse(events.now() + "/" + number);
    ClaimRequest request =
        new ClaimRequest("w", key, number, "attempt-" + number, events.now().plusSeconds(30));
    double startedAt = events.seconds();
    var unused =
        writers
            .get(random.nextInt(AGENTS))
            .claim(request)
            .whenComplete((result, failure) -> count(result, startedAt));
  }

  private void count(ClaimResult result, double startedAt) {
    if (result instanceof ClaimResult.Won) {
      waitNanos.recordValue((long) ((events.seconds() - startedAt) * NANOS_PER_SECOND));
    } else {
      refused++;
    }
  }

  private Result result() {
    return new Result(
        log.appends() / DURATION_SECONDS,
        (double) waitNanos.getTotalCount() / log.appends(),
        waitNanos.getValueAtPercentile(50) / 1e6,
        waitNanos.getValueAtPercentile(99) / 1e6,
        (double) refused / calls);
  }

  private double secondsUntil(Instant when) {
    return Duration.between(events.now(), when).toNanos() / NANOS_PER_SECOND;
  }
}
