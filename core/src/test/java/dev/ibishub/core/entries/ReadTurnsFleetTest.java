package dev.ibishub.core.entries;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.core.entries.ReadTurnsFleet.Fault;
import dev.ibishub.core.entries.ReadTurnsFleet.Plan;
import java.util.EnumSet;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Simulates a version that is published while some entries can't read it, in virtual time. */
final class ReadTurnsFleetTest {
  private static final List<Long> ALLOWED_MILLIS = List.of(2_000L, 3_000L);
  private static final double READS_PER_SECOND = 6_000;
  private static final long FAULT_FROM_MILLIS = 3_000;
  private static final int LATEST_PUBLISHED_AFTER_FAULT_MILLIS = 3_500;
  private static final int EARLIEST_PUBLISHED_BEFORE_FAULT_MILLIS = 1_200;
  private static final int SEEDS = 10;

  private static ReadTurns turns() {
    return new ReadTurns(50, 1_300, 1_000);
  }

  // Guards against a version that is late everywhere because the entries whose turn it is to read
  // are rejected, get no response, are cut off, stand still or have just started.
  @ParameterizedTest
  @ValueSource(ints = {3, 6, 22, 48})
  void versionIsInForceInTimeWhicheverEntriesFail(int size) {
    ALLOWED_MILLIS.forEach(
        allowed ->
            EnumSet.complementOf(EnumSet.of(Fault.NONE))
                .forEach(
                    fault ->
                        LongStream.rangeClosed(1, SEEDS)
                            .forEach(seed -> playAll(size, allowed, fault, seed))));
  }

  /** Plays each number of failing entries, once from the first position and once from any. */
  private static void playAll(int size, long allowed, Fault fault, long seed) {
    Random random = new Random(seed);
    int mostFaulty = fault == Fault.RESTARTED ? size : size - 1;
    IntStream.rangeClosed(1, mostFaulty)
        .filter(count -> count <= 8 || count >= size - 2 || count % 8 == seed % 8)
        .forEach(
            count -> {
              play(size, allowed, fault, seed, IntStream.range(0, count).boxed().toList(), random);
              int first = random.nextInt(size);
              play(
                  size,
                  allowed,
                  fault,
                  seed,
                  IntStream.range(first, first + count).map(i -> i % size).boxed().toList(),
                  random);
            });
  }

  private static void play(
      int size, long allowed, Fault fault, long seed, List<Integer> faulty, Random random) {
    long published =
        FAULT_FROM_MILLIS
            - EARLIEST_PUBLISHED_BEFORE_FAULT_MILLIS
            + random.nextInt(
                EARLIEST_PUBLISHED_BEFORE_FAULT_MILLIS + LATEST_PUBLISHED_AFTER_FAULT_MILLIS);
    ReadTurnsFleet fleet =
        new ReadTurnsFleet(size, turns(), seed)
            .play(new Plan(fault, faulty, FAULT_FROM_MILLIS), published);
    String description =
        "%d entries, %d ms allowed, %s at %s, published at %d, seed %d"
            .formatted(size, allowed, fault, faulty, published, seed);
    assertThat(fleet.lateness()).as(description).isLessThanOrEqualTo(allowed);
    assertThat(fleet.mostCallsInSecond())
        .as(description)
        .isLessThanOrEqualTo((long) READS_PER_SECOND);
  }
}
