package dev.ibishub.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class SnapshotScheduleTest {
  private static final Instant START = Instant.parse("2026-03-02T22:00:00Z");
  private static final Duration RETENTION = Duration.ofMinutes(100);
  private static final List<String> LIVE = List.of("a", "b", "c", "d");

  private static List<Duration> delays(long revision) {
    return LIVE.stream()
        .map(self -> SnapshotSchedule.dueAt(START, RETENTION, self, LIVE, revision))
        .map(due -> Duration.between(START, due))
        .sorted()
        .toList();
  }

  @Test
  void deadlinesOfProcessesFollowOneByOne() {
    assertThat(delays(7))
        .containsExactly(
            Duration.ofMinutes(50),
            Duration.ofMinutes(55),
            Duration.ofMinutes(60),
            Duration.ofMinutes(65));
  }

  /**
   * The first writer may be partitioned, and each process may see other processes as live. Every
   * deadline is at most four fifths of the retention, however many processes are seen as live.
   */
  @Test
  void everyDeadlineIsBoundedWhenManyProcessesAreLive() {
    List<String> many = IntStream.range(0, 370).mapToObj(i -> "e" + i).toList();

    assertThat(many)
        .allSatisfy(
            self ->
                assertThat(SnapshotSchedule.dueAt(START, RETENTION, self, many, 1))
                    .isBeforeOrEqualTo(START.plus(Duration.ofMinutes(80))));
  }
}
