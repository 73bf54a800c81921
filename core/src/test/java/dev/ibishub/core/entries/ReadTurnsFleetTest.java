package dev.ibishub.core.entries;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.core.entries.ReadTurnsFleet.Design;
import dev.ibishub.core.entries.ReadTurnsFleet.Fault;
import dev.ibishub.core.entries.ReadTurnsFleet.Plan;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Simulates a version that is published while some entries can't read it, in virtual time. */
final class ReadTurnsFleetTest {
  private static final List<Long> ALLOWED_MILLIS = List.of(2_000L, 3_000L);
  private static final double READS_PER_SECOND = 6_000;
  private static final long FAULT_FROM_MILLIS = 3_000;
  private static final int LATEST_PUBLISHED_AFTER_FAULT_MILLIS = 3_500;
  private static final int EARLIEST_PUBLISHED_BEFORE_FAULT_MILLIS = 1_200;
  private static final int SEEDS = 10;
  private static final long QUARTER_TURN_MILLIS = 250;
  private static final int SAMPLES = 20;
  private static final long SAMPLE_STEP_MILLIS = 170;

  // Guards against a version that is late everywhere because the entries whose turn it is to read
  // are rejected, get no response, are cut off, stand still or have just started.
  @ParameterizedTest
  @CsvSource({
    "3, false",
    "6, false",
    "22, false",
    "48, false",
    "3, true",
    "6, true",
    "22, true",
    "48, true"
  })
  void versionIsInForceInTimeWhicheverEntriesFail(int size, boolean passesOn) {
    ALLOWED_MILLIS.forEach(
        allowed ->
            EnumSet.complementOf(EnumSet.of(Fault.NONE))
                .forEach(
                    fault ->
                        LongStream.rangeClosed(1, SEEDS)
                            .forEach(seed -> playAll(size, allowed, passesOn, fault, seed))));
  }

  /** Plays each number of failing entries, once from the first position and once from any. */
  private static void playAll(int size, long allowed, boolean passesOn, Fault fault, long seed) {
    Design design = new Design(ReadTurns.within(allowed, READS_PER_SECOND), passesOn);
    Random random = new Random(seed);
    int mostFaulty = fault == Fault.RESTARTED ? size : size - 1;
    IntStream.rangeClosed(1, mostFaulty)
        .filter(count -> count <= 8 || count >= size - 2 || count % 8 == seed % 8)
        .forEach(
            count -> {
              play(
                  size,
                  allowed,
                  design,
                  fault,
                  seed,
                  IntStream.range(0, count).boxed().toList(),
                  random);
              int first = random.nextInt(size);
              play(
                  size,
                  allowed,
                  design,
                  fault,
                  seed,
                  IntStream.range(first, first + count).map(i -> i % size).boxed().toList(),
                  random);
            });
  }

  private static void play(
      int size,
      long allowed,
      Design design,
      Fault fault,
      long seed,
      List<Integer> faulty,
      Random random) {
    long published =
        FAULT_FROM_MILLIS
            - EARLIEST_PUBLISHED_BEFORE_FAULT_MILLIS
            + random.nextInt(
                EARLIEST_PUBLISHED_BEFORE_FAULT_MILLIS + LATEST_PUBLISHED_AFTER_FAULT_MILLIS);
    ReadTurnsFleet fleet =
        new ReadTurnsFleet(size, design, seed)
            .playUntilInForce(new Plan(fault, faulty, FAULT_FROM_MILLIS), published);
    String description =
        "%d entries, %s, %d ms allowed, %s at %s, published at %d, seed %d"
            .formatted(size, design, allowed, fault, faulty, published, seed);
    assertThat(fleet.lateness()).as(description).isLessThanOrEqualTo(allowed);
    assertThat(fleet.mostCallsInSecond())
        .as(description)
        .isLessThanOrEqualTo((long) READS_PER_SECOND);
  }

  // Guards against a version that is late because a rejected reader passes its turn to an entry
  // that has just gone.
  @ParameterizedTest
  @CsvSource({
    "3, PAUSED",
    "6, PAUSED",
    "22, PAUSED",
    "48, PAUSED",
    "3, SILENT",
    "6, SILENT",
    "22, SILENT",
    "48, SILENT",
    "3, RESTARTED",
    "6, RESTARTED",
    "22, RESTARTED",
    "48, RESTARTED",
    "6, CUT_OFF",
    "48, CUT_OFF"
  })
  void versionIsInForceInTimeThoughTurnIsPassedToEntryThatIsGone(int size, Fault gone) {
    ALLOWED_MILLIS.forEach(
        allowed -> {
          Design design = new Design(ReadTurns.within(allowed, READS_PER_SECOND), true);
          LongStream.rangeClosed(1, SEEDS)
              .forEach(seed -> playTurnsPassedToEntryThatIsGone(size, allowed, design, gone, seed));
        });
  }

  private static void playTurnsPassedToEntryThatIsGone(
      int size, long allowed, Design design, Fault gone, long seed) {
    Random random = new Random(seed);
    int rejected = 1 + random.nextInt(Math.min(4, size - 2));
    int lost = 1 + random.nextInt(Math.min(3, size - rejected - 1));
    Plan rejection =
        new Plan(Fault.REJECTED, IntStream.range(0, rejected).boxed().toList(), FAULT_FROM_MILLIS);
    for (long goneFrom = -1_000; goneFrom <= 1_000; goneFrom += QUARTER_TURN_MILLIS) {
      Plan loss =
          new Plan(
              gone,
              IntStream.range(rejected, rejected + lost).boxed().toList(),
              FAULT_FROM_MILLIS + goneFrom);
      for (long published : List.of(0L, 500L, 1_000L)) {
        ReadTurnsFleet fleet =
            new ReadTurnsFleet(size, design, seed)
                .playUntilInForce(List.of(rejection, loss), FAULT_FROM_MILLIS + published);
        assertThat(fleet.lateness())
            .as(
                "%d entries, %d ms allowed, %s, %s, published %d ms after, seed %d",
                size, allowed, rejection, loss, published, seed)
            .isLessThanOrEqualTo(allowed);
      }
    }
  }

  private record Figures(long lateness, double callsPerSecond, long mostCallsInSecond) {
    Figures worst(Figures other) {
      return new Figures(
          Math.max(lateness, other.lateness),
          Math.max(callsPerSecond, other.callsPerSecond),
          Math.max(mostCallsInSecond, other.mostCallsInSecond));
    }
  }

  private static Figures measure(int size, Design design, Fault fault, int faulty, int samples) {
    Plan plan = new Plan(fault, IntStream.range(0, faulty).boxed().toList(), FAULT_FROM_MILLIS);
    return LongStream.rangeClosed(1, samples)
        .mapToObj(
            seed -> {
              long published = FAULT_FROM_MILLIS + SAMPLE_STEP_MILLIS * seed;
              var fleet = new ReadTurnsFleet(size, design, seed).play(plan, published);
              return new Figures(
                  fleet.lateness(),
                  fleet.callsPerSecond(FAULT_FROM_MILLIS),
                  fleet.mostCallsInSecond());
            })
        .reduce(Figures::worst)
        .orElseThrow();
  }

  // Guards against more charged calls to the store on a day without faults.
  @ParameterizedTest
  @ValueSource(ints = {6, 48, 370})
  void quietDayTakesNoMoreReadsThanTurnsOfFixedLength(int size) {
    Design fixed = new Design(ReadTurns.fixed(50, 1_300, 1_000), false);
    double callsBefore = measure(size, fixed, Fault.NONE, 0, 2).callsPerSecond();

    ALLOWED_MILLIS.forEach(
        allowed ->
            assertThat(
                    measure(
                            size,
                            new Design(ReadTurns.within(allowed, READS_PER_SECOND), true),
                            Fault.NONE,
                            0,
                            2)
                        .callsPerSecond())
                .isLessThanOrEqualTo(callsBefore));
  }

  // Guards against the last of many entries reading too late because each one before it has a turn.
  @ParameterizedTest
  @CsvSource({"REJECTED, 2", "REJECTED, 369", "SILENT, 2", "SILENT, 369"})
  void versionIsInForceInTimeInLargeFleet(Fault fault, int faulty) {
    ALLOWED_MILLIS.forEach(
        allowed -> {
          Design design = new Design(ReadTurns.within(allowed, READS_PER_SECOND), true);
          assertThat(measure(370, design, fault, faulty, 3).lateness())
              .isLessThanOrEqualTo(allowed);
        });
  }

  // Guards against entries that exceed the store's read rate when it rejects all of them: each
  // retries at a back-off, and there may be many.
  @ParameterizedTest
  @CsvSource({"48, 100", "48, 6000", "370, 400", "370, 6000"})
  void allRejectedEntriesStayWithinReadRate(int size, double readsPerSecond) {
    Design design = new Design(ReadTurns.within(2_000, readsPerSecond), true);

    assertThat(measure(size, design, Fault.REJECTED, size, 3).mostCallsInSecond())
        .isLessThanOrEqualTo((long) readsPerSecond);
  }

  /** Prints the figures of docs/design/store-turns.md; takes a minute. */
  @ParameterizedTest
  @ValueSource(ints = {6, 48, 370})
  @EnabledIfSystemProperty(named = "ibishub.figures", matches = "true")
  void printFiguresOfDesigns(int size) {
    ReadTurns before = ReadTurns.fixed(50, 1_300, 1_000);
    ReadTurns shorter = ReadTurns.within(2_000, READS_PER_SECOND);
    Map<String, Design> designs = new LinkedHashMap<>();
    designs.put("before", new Design(before, false));
    designs.put("passed on", new Design(before, true));
    designs.put("shorter", new Design(shorter, false));
    designs.put("both", new Design(shorter, true));
    designs.put("both, 3 s", new Design(ReadTurns.within(3_000, READS_PER_SECOND), true));
    designs.forEach(
        (name, design) -> {
          print(size, name, Fault.NONE, 0, measure(size, design, Fault.NONE, 0, SAMPLES));
          for (Fault fault : List.of(Fault.REJECTED, Fault.SILENT)) {
            IntStream.of(1, 2, 5, size - 1)
                .distinct()
                .forEach(
                    faulty ->
                        print(
                            size,
                            name,
                            fault,
                            faulty,
                            measure(size, design, fault, faulty, SAMPLES)));
          }
        });
  }

  private static void print(int size, String design, Fault fault, int faulty, Figures figures) {
    System.out.printf(
        Locale.ROOT,
        "%d entries, %s, %d %s: in force after %d ms, %.2f calls/s, at most %d in a second%n",
        size,
        design,
        faulty,
        fault,
        figures.lateness(),
        figures.callsPerSecond(),
        figures.mostCallsInSecond());
  }
}
