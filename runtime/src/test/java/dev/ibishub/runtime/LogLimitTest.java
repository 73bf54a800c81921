package dev.ibishub.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class LogLimitTest {
  private final LogLimit limit = new LogLimit(3);

  private long logged(int lines, long now) {
    return IntStream.range(0, lines).filter(line -> limit.tryLog(now)).count();
  }

  // Guards against event loops that are held by writing a line for each of many events.
  @Test
  void linesAreLimitedEachSecond() {
    assertThat(logged(10, 0)).isEqualTo(3);
    assertThat(logged(10, 999)).isZero();
    assertThat(logged(10, 1_000)).isEqualTo(3);
  }

  @Test
  void omittedLinesAreCountedOnceTheSecondIsOver() {
    logged(10, 0);

    assertThat(limit.takeOmitted(999)).isZero();
    assertThat(limit.takeOmitted(1_000)).isEqualTo(7);
    assertThat(limit.takeOmitted(1_001)).isZero();
  }
}
