package dev.ibishub.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.random.RandomGenerator;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

/**
 * Simulates random histories with real configuration readers: operators of several sites publish
 * concurrently, appends of changes and snapshots are delayed, repeated or lost, and readers are
 * slow, restart without state, and adopt each other's state.
 */
class ConfigurationHistoryTest {
  private static final int STEPS = 200;
  private static final int READERS = 3;

  @Property(seed = "20260104", tries = 500)
  void revisionNeverDecreasesAndHasOneStateAtAllReaders(@ForAll @LongRange(min = 0) long seed) {
    Simulation simulation = new Simulation(new Random(seed));

    for (int step = 0; step < STEPS; step++) {
      simulation.step();
      simulation.observe();
    }
    simulation.settle();

    assertThat(simulation.violations).as("seed %d", seed).isEmpty();
    assertThat(simulation.readers.stream().map(reader -> reader.state().hash()).distinct())
        .as("one state everywhere, seed %d", seed)
        .hasSize(1);
  }

  private static final class Simulation {
    private final RandomGenerator random;
    private final List<ConfigurationReader> readers = new ArrayList<>();
    private final long[] lastRevision = new long[READERS];
    private final List<ConfigurationRecord> log = new ArrayList<>();
    private final List<ConfigurationRecord> pendingAppends = new ArrayList<>();
    private final Map<Long, String> hashOfRevision = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private int records;

    Simulation(RandomGenerator random) {
      this.random = random;
      for (int i = 0; i < READERS; i++) {
        readers.add(emptyReader());
      }
    }

    void step() {
      int readerIndex = random.nextInt(READERS);
      switch (random.nextInt(10)) {
        case 0 -> publish(readers.get(readerIndex));
        case 1 -> pendingAppends.add(readers.get(readerIndex).snapshot("record-" + records++));
        case 2, 3 -> completeAppend(true);
        case 4 -> completeAppend(false);
        case 5 -> transferState(readers.get(readerIndex), readers.get(random.nextInt(READERS)));
        case 6 -> restartSometimes(readerIndex);
        default -> read(readers.get(readerIndex));
      }
    }

    /** Records a violation if a revision decreased or has two states. */
    void observe() {
      for (int readerIndex = 0; readerIndex < READERS; readerIndex++) {
        ConfigurationState state = readers.get(readerIndex).state();
        if (state.revision() < lastRevision[readerIndex]) {
          violations.add("reader " + readerIndex + " went back to revision " + state.revision());
        }
        lastRevision[readerIndex] = state.revision();
        String before = hashOfRevision.putIfAbsent(state.revision(), state.hash());
        if (before != null && !before.equals(state.hash())) {
          violations.add("two states of revision " + state.revision());
        }
      }
    }

    void settle() {
      while (!pendingAppends.isEmpty()) {
        completeAppend(true);
      }
      for (ConfigurationReader reader : readers) {
        while (reader.nextOffset() < log.size()) {
          read(reader);
          observe();
        }
        checkAccepted(reader);
      }
    }

    /** Records a violation if a change was accepted that was not based on the revision before. */
    private void checkAccepted(ConfigurationReader reader) {
      reader.events().stream()
          .filter(event -> event.result() == ConfigurationEvent.Result.ACCEPTED)
          .filter(event -> event.basedOnRevision() + 1 != event.revision())
          .forEach(event -> violations.add("conflicting change was accepted: " + event));
    }

    private void publish(ConfigurationReader reader) {
      String id = "record-" + records++;
      String site = random.nextBoolean() ? "" : "site-" + random.nextInt(2);
      String text = "{\"value\": " + random.nextInt(1_000) + "}";
      pendingAppends.add(
          ConfigurationChange.of(id, reader.state(), site, text, "author", Instant.EPOCH));
    }

    private void completeAppend(boolean appended) {
      if (pendingAppends.isEmpty()) {
        return;
      }
      int index = random.nextInt(pendingAppends.size());
      boolean duplicated = appended && random.nextInt(5) == 0;
      ConfigurationRecord record =
          duplicated ? pendingAppends.get(index) : pendingAppends.remove(index);
      if (appended) {
        log.add(record);
      }
    }

    private void read(ConfigurationReader reader) {
      if (reader.nextOffset() < log.size()) {
        long offset = reader.nextOffset();
        reader.apply(offset, Instant.EPOCH, Optional.of(log.get((int) offset)));
      }
    }

    private static void transferState(ConfigurationReader from, ConfigurationReader to) {
      to.adoptPeerState(from.snapshot("copy"));
    }

    private void restartSometimes(int readerIndex) {
      if (random.nextInt(5) == 0) {
        readers.set(readerIndex, emptyReader());
        lastRevision[readerIndex] = 0;
      }
    }

    private static ConfigurationReader emptyReader() {
      return ConfigurationReader.create(ConfigurationReader.Options.defaults());
    }
  }
}
