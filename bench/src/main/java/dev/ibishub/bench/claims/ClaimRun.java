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

/** One run: agents claim calls that arrive at random, over one log. Not thread-safe. */
final class ClaimRun {
  static final int AGENTS = 3;
  private static final double SECONDS = 20;
  private static final double WARM_UP_SECONDS = 1;
  private static final double NANOS = 1e9;

  private final EventQueue events = new EventQueue();
  private final RandomGenerator random;
  private final LogModel log;
  private final List<ClaimWriter> writers;
  private final Histogram waits = new Histogram(TimeUnit.MINUTES.toNanos(1), 3);
  private final double callsPerSecond;
  private int calls;
  private int refused;

  /**
   * What a run measured.
   *
   * @param appendsPerSecond that the log took from all agents
   * @param claimsPerAppend how many claims shared one
   * @param medianMillis added to a call by its claim
   * @param tailMillis the same, 99 in 100
   * @param refusedShare calls refused as not run
   */
  record Result(
      double appendsPerSecond,
      double claimsPerAppend,
      double medianMillis,
      double tailMillis,
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
    run.events.runUntil(WARM_UP_SECONDS + SECONDS);
    return run.result();
  }

  /** One claim for each append, as many appends as the log answers. */
  static ClaimWriterOptions withoutGroups() {
    ClaimWriterOptions grouped = ClaimWriterOptions.defaults();
    return new ClaimWriterOptions(
        grouped.buckets(),
        grouped.ledger(),
        1,
        Duration.ZERO,
        grouped.patience(),
        grouped.longPoll(),
        grouped.readBackoff());
  }

  private void arrive() {
    events.after(-Math.log(1 - random.nextDouble()) / callsPerSecond, this::arrive);
    int number = calls++;
    IdempotencyKey key = IdempotencyKey.parse(events.now() + "/" + number);
    ClaimRequest request =
        new ClaimRequest("w", key, number, "attempt-" + number, events.now().plusSeconds(30));
    double since = events.seconds();
    var unused =
        writers
            .get(random.nextInt(AGENTS))
            .claim(request)
            .whenComplete((result, failure) -> count(result, since));
  }

  private void count(ClaimResult result, double since) {
    if (result instanceof ClaimResult.Won) {
      waits.recordValue((long) ((events.seconds() - since) * NANOS));
    } else {
      refused++;
    }
  }

  private Result result() {
    return new Result(
        log.appends() / SECONDS,
        (double) waits.getTotalCount() / log.appends(),
        waits.getValueAtPercentile(50) / 1e6,
        waits.getValueAtPercentile(99) / 1e6,
        (double) refused / calls);
  }

  private double secondsUntil(Instant when) {
    return Duration.between(events.now(), when).toNanos() / NANOS;
  }
}
