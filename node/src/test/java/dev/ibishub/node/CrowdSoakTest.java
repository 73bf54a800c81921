package dev.ibishub.node;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.node.Crowd.Behavior;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Plays crowds that overlap, while the entry is paused, told of changed settings, stopped, killed
 * and started again, and new configurations are published. More: {@code -Dibishub.seed=100
 * -Dibishub.seeds=50}.
 */
@Timeout(value = 300, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
final class CrowdSoakTest {
  private static final int STAGES = 8;
  private static final int MAXIMUM_CROWDS = 4;
  private static final long STAGE_MILLIS = 1_500;
  private static final long STOP_SECONDS = 30;

  static LongStream seeds() {
    long first = Long.getLong("ibishub.seed", 1);
    return LongStream.range(first, first + Long.getLong("ibishub.seeds", 2));
  }

  // Guards against crowds that an entry bears by itself, but not beside signals and changes.
  @ParameterizedTest
  @MethodSource("seeds")
  void entryLivesWithCrowdsWhileItIsDisturbed(long seed) throws Exception {
    Random random = new Random(seed);
    try (CrowdedEntry entry = new CrowdedEntry()) {
      List<Crowd> crowds = new ArrayList<>();
      int version = 1;
      for (int stage = 0; stage < STAGES; stage++) {
        crowds.add(newCrowd(random, entry));
        if (crowds.size() > MAXIMUM_CROWDS) {
          crowds.remove(random.nextInt(crowds.size())).close();
        }
        TimeUnit.MILLISECONDS.sleep(random.nextInt((int) STAGE_MILLIS));
        version = disturb(random, entry, version);
        TimeUnit.MILLISECONDS.sleep(random.nextInt((int) STAGE_MILLIS));
        assertLives(seed, entry);
      }
      entry.awaitOrdinaryAnswers();
      crowds.forEach(Crowd::close);

      entry.awaitOrdinaryAnswers();
      entry.awaitNoMemoryHeld();
      assertLives(seed, entry);
    }
  }

  private static void assertLives(long seed, CrowdedEntry entry) throws IOException {
    String name = CrowdedEntry.ENTRY;
    assertThat(entry.exitStatus(name)).as("seed %d: %s", seed, entry.endOfLog(name)).isEmpty();
    assertThat(entry.deployment().logOf(name)).doesNotContain("OutOfMemoryError");
    assertThat(entry.peakMemoryBytes(name)).isLessThan(CrowdedEntry.ENTRY_MEMORY_BYTES);
    assertThat(entry.openDescriptors(name)).isLessThan(CrowdedEntry.DESCRIPTORS);
  }

  private static String get(String path) {
    return CrowdedEntry.request(path, "");
  }

  private static Crowd newCrowd(Random random, CrowdedEntry entry) {
    int number = 20 + random.nextInt(200);
    List<Supplier<Crowd>> kinds =
        List.of(
            () -> entry.crowdOfCallers(number, Behavior.sends(get("/page/bytes/3000000/a"))),
            () ->
                entry.crowdOfCallers(
                    number, Behavior.sendsAndReadsSlowly(get("/stream/events/40/50000/a"))),
            () ->
                entry.crowdOfCallers(
                    number, Behavior.sendsAndResets(get("/page/bytes/400000/a").repeat(3))),
            () ->
                entry.crowdOfCallers(
                    number, Behavior.sends(get("/page/silence/a") + get("/once/bytes/7/a"))),
            () ->
                entry.crowdOfCallers(
                    number, Behavior.sendsAndReadsSlowly("GET /a HTTP/1.1\r\n" + lines(random))),
            () -> entry.crowdOfCallers(4 * number, Behavior.sendsAndReadsSlowly("")),
            () ->
                entry.crowdOfCallers(
                    number / 10, Behavior.sendsWithoutEnd(get("/page/bytes/9000/a").repeat(9))),
            () ->
                entry.crowdOfDirectory(
                    number, Behavior.sendsWithoutEnd(get("/ibishub/resolution?name=a").repeat(9))),
            () -> entry.crowdOfReadiness(number, Behavior.sendsAndReadsSlowly(lines(random))),
            () ->
                entry.crowdOfLinks(
                    CrowdedEntry.ENTRY, number, Behavior.sendsAndReadsSlowly("\0\20\0\0x")));
    return kinds.get(random.nextInt(kinds.size())).get();
  }

  private static String lines(Random random) {
    return "a:b\r\n".repeat(random.nextInt(2_500));
  }

  /** Disturbs the entry in one of several ways, and returns the version that was published last. */
  private static int disturb(Random random, CrowdedEntry entry, int version) throws Exception {
    switch (random.nextInt(6)) {
      case 0 -> entry.deployment().sendHangUpSignal(CrowdedEntry.ENTRY);
      case 1 -> {
        entry.deployment().pause(CrowdedEntry.ENTRY);
        TimeUnit.MILLISECONDS.sleep(random.nextInt(1_500));
        entry.deployment().resume(CrowdedEntry.ENTRY);
      }
      case 2 -> restart(entry, entry.process(CrowdedEntry.ENTRY)::destroy);
      case 3 -> restart(entry, entry.process(CrowdedEntry.ENTRY)::destroyForcibly);
      case 4 -> {
        entry.deployment().publish(version + 1, "pages", "key-1");
        return version + 1;
      }
      default -> {}
    }
    return version;
  }

  private static void restart(CrowdedEntry entry, Runnable stop) throws Exception {
    Process process = entry.process(CrowdedEntry.ENTRY);
    stop.run();
    assertThat(process.waitFor(STOP_SECONDS, TimeUnit.SECONDS)).isTrue();
    entry.startEntry();
  }
}
