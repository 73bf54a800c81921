package dev.ibishub.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/**
 * Runs the real decision classes of two entries and two agents through random histories: messages
 * and log records are delayed, lost, repeated and reordered, agents are killed, and time passes.
 */
class RequestHistoryTest {
  private static final int STEPS = 250;

  @Property(seed = "20260101", tries = 1_000)
  void runsOnceAndReportsTrueOutcomesInRandomHistories(@ForAll @LongRange(min = 0) long seed) {
    RequestSimulation simulation = new RequestSimulation(new Random(seed));

    for (int step = 0; step < STEPS; step++) {
      simulation.step();
    }
    simulation.runToCompletion();

    assertThat(simulation.executions().values())
        .as("at most once, seed %d", seed)
        .allMatch(n -> n == 1);
    assertThat(simulation.reportedNotRun())
        .as("not run, seed %d", seed)
        .noneMatch(simulation.ran()::contains);
    assertThat(simulation.corruptAnswers()).as("whole answers, seed %d", seed).isEmpty();
  }

  @Test
  void coversAllOutcomesInRandomHistories() {
    // If no call were ever run, refused or answered, the property above would hold trivially.
    RequestSimulation.Counts counts = new RequestSimulation.Counts();
    for (int seed = 0; seed < 300; seed++) {
      RequestSimulation simulation = new RequestSimulation(new Random(seed));
      for (int step = 0; step < STEPS; step++) {
        simulation.step();
      }
      simulation.runToCompletion();
      counts.add(simulation);
    }

    assertThat(counts.ran()).isPositive();
    assertThat(counts.notRun()).isPositive();
    assertThat(counts.completeAnswers()).isPositive();
    assertThat(counts.claimsHeldElsewhere()).isPositive();
  }
}
