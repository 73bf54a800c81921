package dev.ibishub.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests the order and the pace of tasks by a virtual clock. */
final class PacedTasksTest {
  private static final long TASK_NANOS = TimeUnit.MILLISECONDS.toNanos(2);
  private static final int TASKS = 100;

  private final Deque<Runnable> laterTurns = new ArrayDeque<>();
  private final List<Integer> done = new ArrayList<>();
  private final PacedTasks queue = new PacedTasks(this::schedule, () -> now(), 1_000);
  private long now = 17;

  private long now() {
    return now;
  }

  private void schedule(Runnable turn, long delay, TimeUnit unit) {
    laterTurns.add(
        () -> {
          now += unit.toNanos(delay);
          turn.run();
        });
  }

  private void runLaterTurns() {
    while (!laterTurns.isEmpty()) {
      laterTurns.remove().run();
    }
  }

  private boolean offer(int number, long bytes) {
    return queue.offer(
        () -> {
          now += TASK_NANOS;
          done.add(number);
        },
        bytes);
  }

  @Test
  void taskRunsAtOnceIfNoneWaits() {
    assertThat(offer(1, 1)).isTrue();
    assertThat(done).containsExactly(1);
  }

  // Guards against an event loop that serves nobody else while many tasks come at once.
  @Test
  void tasksGetHalfOfTimeInShortTurns() {
    long startedAt = now;
    IntStream.range(0, TASKS).forEach(number -> offer(number, 0));
    List<Integer> tasksOfTurns = new ArrayList<>(List.of(done.size()));
    while (!laterTurns.isEmpty()) {
      int before = done.size();
      laterTurns.remove().run();
      tasksOfTurns.add(done.size() - before);
    }

    assertThat(done).containsExactlyElementsOf(IntStream.range(0, TASKS).boxed().toList());
    assertThat(tasksOfTurns).allMatch(tasks -> (tasks - 1) * TASK_NANOS <= PacedTasks.TURN_NANOS);
    assertThat(now - startedAt)
        .isGreaterThanOrEqualTo(2 * (TASKS * TASK_NANOS - 2 * PacedTasks.TURN_NANOS));
  }

  // Guards against tasks that together fill the heap while they wait.
  @Test
  void tasksThatHoldTooMuchMemoryAreRejected() {
    IntStream.range(0, 4).forEach(number -> offer(number, 0));
    assertThat(offer(4, 600)).isTrue();
    assertThat(offer(5, 600)).isFalse();
    assertThat(offer(6, 0)).isTrue();
    runLaterTurns();

    assertThat(offer(7, 600)).isTrue();
    runLaterTurns();
    assertThat(done).containsExactly(0, 1, 2, 3, 4, 6, 7);
  }

  @Test
  void tasksAfterOneThatFailsRun() {
    queue.offer(
        () -> {
          throw new IllegalStateException("expected by this test");
        },
        1);
    offer(1, 1);

    assertThat(done).containsExactly(1);
  }
}
