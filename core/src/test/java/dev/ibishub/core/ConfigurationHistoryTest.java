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
 * Random histories of real configuration readers: operators race at several sites, appends and
 * snapshots come late, twice or never, readers are slow, restart empty, and copy from each other.
 */
class ConfigurationHistoryTest {
  private static final int STEPS = 200;
  private static final int READERS = 3;

  @Property(seed = "20260104", tries = 500)
  void noRevisionIsEverTakenBackOrReadInTwoWays(@ForAll @LongRange(min = 0) long seed) {
    World world = new World(new Random(seed));

    for (int step = 0; step < STEPS; step++) {
      world.step();
      world.observe();
    }
    world.settle();

    assertThat(world.breaches).as("seed %d", seed).isEmpty();
    assertThat(world.readers.stream().map(reader -> reader.state().hash()).distinct())
        .as("one state everywhere, seed %d", seed)
        .hasSize(1);
  }

  private static final class World {
    private final RandomGenerator random;
    private final List<ConfigurationReader> readers = new ArrayList<>();
    private final long[] highest = new long[READERS];
    private final List<ConfigurationRecord> log = new ArrayList<>();
    private final List<ConfigurationRecord> onTheWay = new ArrayList<>();
    private final Map<Long, String> hashOfRevision = new HashMap<>();
    private final List<String> breaches = new ArrayList<>();
    private int records;

    World(RandomGenerator random) {
      this.random = random;
      for (int i = 0; i < READERS; i++) {
        readers.add(emptyReader());
      }
    }

    void step() {
      int who = random.nextInt(READERS);
      switch (random.nextInt(10)) {
        case 0 -> publish(readers.get(who));
        case 1 -> onTheWay.add(readers.get(who).snapshot("record-" + records++));
        case 2, 3 -> take(true);
        case 4 -> take(false);
        case 5 -> copy(readers.get(who), readers.get(random.nextInt(READERS)));
        case 6 -> restartNowAndThen(who);
        default -> read(readers.get(who));
      }
    }

    /** Notes a revision that went back, and one that stands for two states. */
    void observe() {
      for (int who = 0; who < READERS; who++) {
        ConfigurationState state = readers.get(who).state();
        if (state.revision() < highest[who]) {
          breaches.add("reader " + who + " went back to " + state.revision());
        }
        highest[who] = state.revision();
        String before = hashOfRevision.putIfAbsent(state.revision(), state.hash());
        if (before != null && !before.equals(state.hash())) {
          breaches.add("two states of revision " + state.revision());
        }
      }
    }

    void settle() {
      while (!onTheWay.isEmpty()) {
        take(true);
      }
      for (ConfigurationReader reader : readers) {
        while (reader.nextOffset() < log.size()) {
          read(reader);
          observe();
        }
        checkWinners(reader);
      }
    }

    /** Notes a change that took hold although another had come before it. */
    private void checkWinners(ConfigurationReader reader) {
      reader.events().stream()
          .filter(event -> event.result() == ConfigurationEvent.Result.ACCEPTED)
          .filter(event -> event.basedOnRevision() + 1 != event.revision())
          .forEach(event -> breaches.add("loser took hold: " + event));
    }

    private void publish(ConfigurationReader reader) {
      String id = "record-" + records++;
      String site = random.nextBoolean() ? "" : "site-" + random.nextInt(2);
      String text = "{\"value\": " + random.nextInt(1_000) + "}";
      onTheWay.add(ConfigurationChange.of(id, reader.state(), site, text, "author", Instant.EPOCH));
    }

    private void take(boolean appended) {
      if (onTheWay.isEmpty()) {
        return;
      }
      int index = random.nextInt(onTheWay.size());
      boolean comesTwice = appended && random.nextInt(5) == 0;
      ConfigurationRecord record = comesTwice ? onTheWay.get(index) : onTheWay.remove(index);
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

    private static void copy(ConfigurationReader from, ConfigurationReader to) {
      to.accept(from.snapshot("copy"));
    }

    private void restartNowAndThen(int who) {
      if (random.nextInt(5) == 0) {
        readers.set(who, emptyReader());
        highest[who] = 0;
      }
    }

    private static ConfigurationReader emptyReader() {
      return ConfigurationReader.create(ConfigurationReader.Options.defaults());
    }
  }
}
