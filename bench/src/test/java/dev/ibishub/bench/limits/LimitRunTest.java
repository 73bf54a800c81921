package dev.ibishub.bench.limits;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.core.serving.LimitDivision;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.FieldSource;

final class LimitRunTest {
  private static final int SEEDS = 10;

  static final List<LimitRun.Scenario> SCENARIOS = LimitsBench.SCENARIOS;

  // Guards against limits exceeded while entries are killed, restarted and informed late.
  @ParameterizedTest
  @FieldSource("SCENARIOS")
  void limitHoldsWhileEntriesAreKilledAndRestarted(LimitRun.Scenario scenario) {
    LongStream.rangeClosed(1, SEEDS)
        .forEach(
            seed -> {
              LimitRun.Outcome outcome =
                  new LimitRun(scenario, LimitDivision.amongFewHolders(), true, seed).run();
              assertThat((double) outcome.maxArrivals())
                  .as("%s, seed %d", scenario, seed)
                  .isLessThanOrEqualTo(outcome.allowed());
            });
  }
}
