package dev.ibishub.bench.capacity;

import dev.ibishub.bench.capacity.Measure.Growth;
import dev.ibishub.core.FairQueue;
import dev.ibishub.core.QueuedWork;
import java.time.Instant;
import java.util.List;

/** Measures the cost of an agent's state and decisions. */
final class AgentMeasures {
  private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
  private static final int[] WORKSPACES = {10, 100, 1000, 11_000};
  private static final int DECISIONS = 20_000;

  private AgentMeasures() {}

  static List<Measure> all() {
    return List.of(
        Measure.over(
            "offer, poll, completed",
            "us",
            "workspaces that wait",
            Growth.LOGARITHMIC,
            WORKSPACES,
            count -> cycle(count).micros()),
        Measure.over(
            "offer, poll: allocated",
            "bytes",
            "workspaces that wait",
            Growth.LOGARITHMIC,
            WORKSPACES,
            count -> cycle(count).bytes()),
        Measure.over(
            "queue state",
            "bytes",
            "requests that wait",
            Growth.LINEAR,
            WORKSPACES,
            count -> Probe.retainedBytes(() -> queue(count))));
  }

  private static Probe.Cost cycle(int count) {
    FairQueue<Integer> queue = queue(count);
    int[] next = {count};
    return Probe.costOf(
        DECISIONS,
        call -> {
          queue.offer(work(next[0]++, count));
          queue
              .poll(NOW)
              .ifPresent(work -> queue.completed(work.workspace(), work.estimatedTokens(), 150));
        });
  }

  private static FairQueue<Integer> queue(int count) {
    FairQueue<Integer> queue = FairQueue.create();
    for (int number = 0; number < count; number++) {
      queue.offer(work(number, count));
    }
    return queue;
  }

  private static QueuedWork<Integer> work(int number, int workspaces) {
    return new QueuedWork<>(
        "attempt-" + number,
        "workspace-" + number % workspaces,
        1,
        0,
        200,
        NOW.plusSeconds(60),
        number);
  }
}
