package dev.ibishub.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/**
 * Random histories of the real decision classes of two entries and two agents: messages and log
 * records late, lost, twice and out of order, agents killed, clocks running on.
 */
class RequestHistoryTest {
  private static final int STEPS = 250;

  @Property(seed = "20260101", tries = 1_000)
  void everyPromiseHoldsAtTheEndOfEachHistory(@ForAll @LongRange(min = 0) long seed) {
    RequestWorld world = new RequestWorld(new Random(seed));

    for (int step = 0; step < STEPS; step++) {
      world.step();
    }
    world.settle();

    assertThat(world.executions().values()).as("at most once, seed %d", seed).allMatch(n -> n == 1);
    assertThat(world.saidNotRun()).as("not run, seed %d", seed).noneMatch(world.ran()::contains);
    assertThat(world.wrongAnswers()).as("whole answers, seed %d", seed).isEmpty();
  }

  @Test
  void historiesReachWhatTheyAreMeantToTest() {
    // Were no call ever run, refused or answered, the property above would hold of nothing.
    RequestWorld.Counts counts = new RequestWorld.Counts();
    for (int seed = 0; seed < 300; seed++) {
      RequestWorld world = new RequestWorld(new Random(seed));
      for (int step = 0; step < STEPS; step++) {
        world.step();
      }
      world.settle();
      counts.add(world);
    }

    assertThat(counts.ran()).isPositive();
    assertThat(counts.notRun()).isPositive();
    assertThat(counts.whole()).isPositive();
    assertThat(counts.heldElsewhere()).isPositive();
  }
}
