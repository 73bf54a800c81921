package dev.ibishub.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class FairQueueTest {
  private static final Instant NOW = Instant.parse("2026-12-02T00:00:00Z");
  private static final Instant LATER = NOW.plusSeconds(60);

  private final FairQueue<String> queue = FairQueue.create();

  /**
   * Guards against first-in, first-out order, in which a small workspace waits behind a thousand
   * requests of a large one.
   */
  @Test
  void servesSmallWorkspaceDespiteBacklogOfLargeOne() {
    IntStream.range(0, 1000).forEach(number -> offer("large" + number, "large", 1, 100));
    offer("small", "small", 1, 100);

    assertThat(polled(2)).contains("small");
  }

  @Test
  void sharesTokensByWeight() {
    IntStream.range(0, 300).forEach(number -> offer("a" + number, "a", 2, 100));
    IntStream.range(0, 300).forEach(number -> offer("b" + number, "b", 1, 100));

    assertThat(polled(300)).filteredOn(id -> id.startsWith("a")).hasSizeBetween(199, 201);
  }

  @Test
  void appliesPriorityOnlyWithinWorkspace() {
    offer("a-low", "a", 1, 100);
    queue.offer(new QueuedWork<>("a-high", "a", 1, 9, 100, LATER, "a-high"));
    offer("b", "b", 1, 100);

    assertThat(polled(3)).containsExactly("a-high", "b", "a-low");
  }

  @Test
  void refusesWorkWithIdThatIsAlreadyWaiting() {
    offer("one", "a", 1, 100);

    assertThat(queue.offer(new QueuedWork<>("one", "a", 1, 0, 5, LATER, "again"))).isFalse();
    assertThat(queue.queuedTokens()).isEqualTo(100);
  }

  @Test
  void returnsExpiredWorkOnceAndNeverFromPoll() {
    queue.offer(new QueuedWork<>("late", "a", 1, 0, 100, NOW, "late"));

    assertThat(queue.poll(NOW)).isEmpty();
    assertThat(queue.removeExpired(NOW)).extracting(QueuedWork::id).containsExactly("late");
    assertThat(queue.removeExpired(NOW)).isEmpty();
  }

  @Test
  void doesNotPollRemovedWork() {
    offer("one", "a", 1, 100);

    assertThat(queue.remove("one")).isTrue();
    assertThat(queue.remove("one")).isFalse();
    assertThat(queue.poll(NOW)).isEmpty();
  }

  @Test
  void delaysWorkspaceThatUsedMoreThanEstimated() {
    offer("a0", "a", 1, 10);
    queue.poll(NOW);
    queue.completed("a", 10, 1000);
    offer("a1", "a", 1, 10);
    IntStream.range(0, 9).forEach(number -> offer("b" + number, "b", 1, 100));

    assertThat(polled(10)).endsWith("a1");
  }

  /**
   * Guards against a queue without burst: two requests of a small workspace meet at one target, and
   * the second waits behind another workspace's flood until the small share has paid for the first.
   */
  @Test
  void servesTwoRequestsOfIdleWorkspaceBeforeFlood() {
    IntStream.range(0, 300).forEach(number -> offer("flood" + number, "flood", 10, 100));
    IntStream.range(0, 200).forEach(number -> queue.poll(NOW));
    offer("small0", "small", 1, 100);
    offer("small1", "small", 1, 100);

    assertThat(queue.isNextUrgent()).isTrue();
    assertThat(polled(2)).containsExactly("small0", "small1");
    assertThat(queue.isNextUrgent()).isFalse();
  }

  @Test
  void evictsIdleWorkspaces() {
    IntStream.range(0, 1000)
        .forEach(
            number -> {
              offer("work" + number, "workspace" + number, 1, 100);
              queue.poll(NOW);
            });

    assertThat(queue.knownWorkspaces()).isZero();
  }

  private void offer(String id, String workspace, double weight, double tokens) {
    queue.offer(new QueuedWork<>(id, workspace, weight, 0, tokens, LATER, id));
  }

  private List<String> polled(int count) {
    return Stream.generate(() -> queue.poll(NOW).orElseThrow().id()).limit(count).toList();
  }
}
