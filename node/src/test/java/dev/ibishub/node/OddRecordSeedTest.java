package dev.ibishub.node;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.ibishub.core.entries.LogPosition;
import dev.ibishub.core.entries.ReadTurns;
import dev.ibishub.gateway.front.TargetDirectory;
import dev.ibishub.gateway.model.Target;
import dev.ibishub.gateway.records.KeyedLog;
import dev.ibishub.gateway.records.KeyedRecord;
import dev.ibishub.gateway.records.RecordBatch;
import dev.ibishub.gateway.records.RecordPage;
import dev.ibishub.platform.StoreClient;
import dev.ibishub.runtime.MonotonicClock;
import dev.ibishub.wire.generated.Frame;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Plays entries that read, pass on and list the records of targets, between which another writer
 * writes and deletes records that name none.
 */
final class OddRecordSeedTest {
  private static final long FIRST_SEED = Long.getLong("ibishub.seed", 1);
  private static final long SEEDS = Long.getLong("ibishub.seeds", 20);
  private static final int STEPS = 200;
  private static final int TARGETS = 4;
  private static final int PAGE_RECORDS = 3;
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private static final List<String> ODD_ADDRESSES =
      List.of(
          "127.0.0.1:70000",
          "127.0.0.1:-1",
          "127.0.0.1:+80",
          "127.0.0.1:",
          "127.1:80",
          "127.0.0.300:80",
          "0.0.0.0:80",
          "not-an-address:80",
          ":",
          " ",
          "\u0000:80",
          "\u00e9:80");

  private static final List<String> ODD_VALUES =
      List.of("", "[]", "{}", "7", "null", "{", "\u0000", "\u00ff\u00fe", "x".repeat(2_000));

  private static final List<String> REQUIRED_FIELDS =
      List.of("service", "address", "zone", "slots", "state");

  private final Map<String, List<KeyedRecord>> topics = new HashMap<>();

  private static LongStream seeds() {
    return LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS);
  }

  /** A store with the records written so far, listed in pages. */
  private final class WrittenRecords implements KeyedLog {
    @Override
    public CompletableFuture<RecordPage> newestPage(String topic, String after) {
      Map<String, KeyedRecord> newest = new TreeMap<>();
      records(topic).forEach(record -> newest.put(record.key(), record));
      List<KeyedRecord> left =
          newest.values().stream()
              .filter(record -> !record.isTombstone())
              .filter(record -> record.key().compareTo(after) > 0)
              .toList();
      return CompletableFuture.completedFuture(
          new RecordPage(
              left.stream().limit(PAGE_RECORDS).toList(), end(topic), left.size() > PAGE_RECORDS));
    }

    @Override
    public CompletableFuture<RecordBatch> read(String topic, long from, long waitMillis) {
      List<KeyedRecord> all = records(topic);
      return CompletableFuture.completedFuture(
          new RecordBatch(from, end(topic), false, all.subList((int) from, all.size())));
    }

    @Override
    public CompletableFuture<Long> append(String topic, String key, byte[] value) {
      return CompletableFuture.completedFuture(1L);
    }
  }

  private List<KeyedRecord> records(String topic) {
    return topics.computeIfAbsent(topic, any -> new ArrayList<>());
  }

  private LogPosition end(String topic) {
    return new LogPosition(1, records(topic).size());
  }

  private void write(String topic, String key, Optional<byte[]> value) {
    records(topic).add(new KeyedRecord(end(topic), key, value));
  }

  /** An entry's copies of the topics. */
  private final class Entry {
    private final TargetDirectory targets = new TargetDirectory("z");
    private final StoreTopics topicsOfEntry;

    Entry(Consumer<Frame> broadcast) {
      topicsOfEntry =
          new StoreTopics(
              new WrittenRecords(),
              new CurrentConfiguration(),
              new CurrentEvacuations(targets),
              targets,
              () -> ReadTurns.fixed(500, 250, 0),
              new StoreTopics.Listener(broadcast, host -> {}, turn -> false),
              MonotonicClock::millis);
    }

    void onFrame(Frame frame) {
      if (frame.hasRecordProgress()) {
        topicsOfEntry.onProgress(frame.getRecordProgress(), "peer");
      }
    }

    Map<String, String> addressesById() {
      return targets.usable("pages").stream()
          .map(TargetDirectory.ListedTarget::target)
          .collect(Collectors.toMap(Target::id, target -> target.host() + ":" + target.port()));
    }
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static String addressOf(int target) {
    return "10.0.0." + (target + 1) + ":80";
  }

  private static ObjectNode announcement(String service, String address, long born) {
    ObjectNode json = MAPPER.createObjectNode();
    json.put("service", service).put("address", address).put("zone", "z");
    json.put("slots", 4).put("state", "ready").put("sequence", 1);
    return born == 0 ? json : json.put("born", born);
  }

  private void renew(int target, long born) {
    ObjectNode json = announcement("pages", addressOf(target), born);
    write(
        StoreClient.TARGETS_TOPIC,
        "i-" + target,
        Optional.of(
            bytes(json.put("sequence", records(StoreClient.TARGETS_TOPIC).size()).toString())));
  }

  /** Writes or deletes a record that names no target. */
  private void writeOdd(Random random) {
    String id = List.of("a-", "i-0-", "z-", "").get(random.nextInt(4)) + random.nextInt(6);
    if (random.nextInt(5) == 0) {
      write(StoreClient.TARGETS_TOPIC, id, Optional.empty());
      return;
    }
    ObjectNode json = announcement("pages", "127.0.0.9:80", 0);
    switch (random.nextInt(6)) {
      case 0 -> json.put("address", ODD_ADDRESSES.get(random.nextInt(ODD_ADDRESSES.size())));
      case 1 -> json.remove(REQUIRED_FIELDS.get(random.nextInt(REQUIRED_FIELDS.size())));
      case 2 -> json.putArray(REQUIRED_FIELDS.get(random.nextInt(REQUIRED_FIELDS.size())));
      case 3 -> json.put("state", "sleeping");
      case 4 -> {
        json = announcement("metrics", addressOf(random.nextInt(TARGETS)), oddStart(random));
        json.put("slots", random.nextInt());
      }
      default -> id += List.of("\r\n", "\u0000", " ", "\u00e9").get(random.nextInt(4));
    }
    boolean isJson = random.nextInt(6) > 0;
    String value = isJson ? json.toString() : ODD_VALUES.get(random.nextInt(ODD_VALUES.size()));
    write(StoreClient.TARGETS_TOPIC, id, Optional.of(bytes(value)));
  }

  private static long oddStart(Random random) {
    return List.of(0L, 1L, 3_000L, Long.MAX_VALUE, -1L).get(random.nextInt(5));
  }

  private void writeOddOperatorRecord(Random random) {
    String key = List.of("evacuate/", "evacuate", "notes", "", "config/2").get(random.nextInt(5));
    write(StoreClient.OPERATOR_TOPIC, key, Optional.of(bytes(ODD_VALUES.get(random.nextInt(9)))));
  }

  // Guards against any mix and order of records that name no target, by which an entry that reads
  // them, is told of them or starts later comes to other targets than by the targets' own.
  @ParameterizedTest
  @MethodSource("seeds")
  void onlyTargetsOwnRecordsCount(long seed) {
    Random random = new Random(seed);
    write(
        StoreClient.OPERATOR_TOPIC,
        StoreClient.CONFIGURATION_KEY,
        Optional.of(
            bytes(
                "{\"version\":1,\"routes\":[{\"host\":\"h\",\"path_prefix\":\"/\","
                    + "\"kind\":\"idempotent\",\"timeout_ms\":100,\"service\":\"pages\"}]}")));
    Entry follower = new Entry(frame -> {});
    Entry reader = new Entry(follower::onFrame);
    long[] born =
        IntStream.range(0, TARGETS).mapToLong(any -> random.nextInt(2) * 2_000L).toArray();
    long time = MonotonicClock.millis();
    for (int step = 0; step < STEPS; step++) {
      switch (random.nextInt(4)) {
        case 0 -> {
          int target = random.nextInt(TARGETS);
          renew(target, born[target]);
        }
        case 1 -> writeOddOperatorRecord(random);
        default -> writeOdd(random);
      }
      if (random.nextInt(3) == 0) {
        time += 1_000;
        reader.topicsOfEntry.tick(time, 0, 2);
      }
    }
    IntStream.range(0, TARGETS).forEach(target -> renew(target, born[target]));
    reader.topicsOfEntry.tick(time + 1_000, 0, 2);
    Entry fresh = new Entry(frame -> {});
    fresh.topicsOfEntry.tick(time, 0, 1);
    Entry told = new Entry(frame -> {});
    follower.topicsOfEntry.snapshots().forEach(told::onFrame);

    Map<String, String> expected =
        IntStream.range(0, TARGETS)
            .boxed()
            .collect(Collectors.toMap(target -> "i-" + target, OddRecordSeedTest::addressOf));
    assertThat(reader.addressesById()).as("reader, seed %d", seed).isEqualTo(expected);
    assertThat(follower.addressesById()).as("follower, seed %d", seed).isEqualTo(expected);
    assertThat(fresh.addressesById()).as("fresh entry, seed %d", seed).isEqualTo(expected);
    assertThat(told.addressesById()).as("entry told by another, seed %d", seed).isEqualTo(expected);
  }
}
