package dev.ibishub.core.entries;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Simulates fleets whose entries exchange heartbeats over the links that their rosters want. */
final class EntryRosterTest {
  private static final long HEARTBEAT_MILLIS = 200;

  /** Entries by host. The last three are the seeds, so that relays and seeds are different. */
  private final Map<String, Entry> fleet = new TreeMap<>();

  private final Set<String> lost = new HashSet<>();
  private long now = 100_000;
  private long heartbeats;

  private static final class Entry {
    private final EntryFacts facts;
    private final EntryRoster roster;

    Entry(String host, long startedAt) {
      facts = new EntryFacts(host, host + ":1", startedAt, true, false);
      roster = new EntryRoster(host, startedAt);
    }
  }

  private static String host(int number) {
    return "10.0.0." + number;
  }

  private void startFleet(int entries) {
    List<String> seeds =
        IntStream.rangeClosed(entries - 2, entries).mapToObj(n -> host(n)).toList();
    IntStream.rangeClosed(1, entries).forEach(number -> start(number, number, seeds));
  }

  private void start(int number, long startedAt, List<String> seeds) {
    Entry entry = new Entry(host(number), startedAt);
    seeds.forEach(seed -> entry.roster.onNamed(seed, now));
    fleet.put(host(number), entry);
  }

  /** Lets all entries send heartbeats over their links for this long. */
  private void run(long millis) {
    for (long end = now + millis; now < end; now += HEARTBEAT_MILLIS) {
      Map<String, Set<String>> links = links();
      links.forEach((host, others) -> others.forEach(other -> sendHeartbeat(host, other)));
    }
  }

  /** Returns the links that either end wants, listed at both ends. */
  private Map<String, Set<String>> links() {
    Map<String, Set<String>> links = new TreeMap<>();
    fleet.forEach(
        (host, entry) ->
            entry.roster.hostsToLink(now).stream()
                .filter(other -> isUp(host) && isUp(other))
                .forEach(
                    other -> {
                      links.computeIfAbsent(host, any -> new HashSet<>()).add(other);
                      links.computeIfAbsent(other, any -> new HashSet<>()).add(host);
                    }));
    return links;
  }

  private boolean isUp(String host) {
    return fleet.containsKey(host) && !lost.contains(host);
  }

  private void sendHeartbeat(String from, String to) {
    heartbeats++;
    Entry sender = fleet.get(from);
    Entry receiver = fleet.get(to);
    receiver.roster.onHeard(sender.facts, now);
    sender
        .roster
        .heardDirectly(now)
        .forEach((facts, heardAt) -> receiver.roster.onRelayed(facts, heardAt, now));
  }

  private List<String> leaders() {
    return fleet.keySet().stream()
        .filter(this::isUp)
        .filter(host -> fleet.get(host).roster.position(now) == 0)
        .filter(host -> !fleet.get(host).roster.isAnyPending(now))
        .toList();
  }

  private List<Integer> aliveCounts() {
    return fleet.keySet().stream()
        .filter(this::isUp)
        .map(host -> fleet.get(host).roster.countAlive(now))
        .toList();
  }

  @Test
  void everyEntrySeesAllOthersAndLongestRunningLeads() {
    startFleet(42);
    run(3_000);

    assertThat(aliveCounts()).hasSize(42).containsOnly(41);
    assertThat(leaders()).containsExactly(host(1));
  }

  // Guards against links between all entries, whose heartbeats grow with the square of the fleet:
  // an idle fleet of 42 entries sent 8,600 heartbeats a second.
  @Test
  void heartbeatsPerEntryDoNotGrowWithFleetSize() {
    startFleet(42);
    run(3_000);
    heartbeats = 0;
    run(1_000);
    int maximum = 2 * 42 * EntryRoster.RELAY_COUNT * 5;

    assertThat(heartbeats).isLessThanOrEqualTo(maximum);
  }

  @Test
  void lostEntryIsDroppedByAllOthersAfterTimeout() {
    startFleet(42);
    run(3_000);
    lost.add(host(20));
    run(EntryRoster.ALIVE_MILLIS + 2 * HEARTBEAT_MILLIS);

    assertThat(aliveCounts()).hasSize(41).containsOnly(40);
  }

  // Guards against entries that consider all others lost when all relays are lost at once, as no
  // relay reports the others any more. Callers then got one address instead of 38, and 38 entries
  // took the lead at once.
  @Test
  void simultaneousLossOfAllRelaysKeepsOtherEntriesAlive() {
    startFleet(42);
    run(3_000);
    IntStream.rangeClosed(1, EntryRoster.RELAY_COUNT).forEach(number -> lost.add(host(number)));
    List<Integer> observedCounts = new ArrayList<>();
    for (long end = now + 6_000; now < end; ) {
      run(HEARTBEAT_MILLIS);
      observedCounts.addAll(aliveCounts());
      assertThat(leaders()).hasSizeLessThanOrEqualTo(1);
    }

    assertThat(observedCounts).allMatch(count -> count >= 37);
    assertThat(aliveCounts()).containsOnly(37);
    assertThat(leaders()).containsExactly(host(EntryRoster.RELAY_COUNT + 1));
  }

  @Test
  void lossOfThirdOfFleetLeavesOneLeader() {
    startFleet(42);
    run(3_000);
    IntStream.rangeClosed(1, 14).forEach(number -> lost.add(host(number)));
    run(8_000);

    assertThat(aliveCounts()).hasSize(28).containsOnly(27);
    assertThat(leaders()).containsExactly(host(15));
  }

  // Guards against a restarted entry that takes the lead back although another entry has just taken
  // over. Each change of lead stops map updates for another second.
  @Test
  void restartedEntryDoesNotTakeLead() {
    startFleet(7);
    run(3_000);
    lost.add(host(1));
    run(2_000);
    lost.remove(host(1));
    start(1, 1_000, List.of(host(5), host(6), host(7)));
    run(3_000);

    assertThat(aliveCounts()).containsOnly(6);
    assertThat(leaders()).containsExactly(host(2));
  }

  @Test
  void entryNamedOnlyByStoreIsFound() {
    startFleet(10);
    run(3_000);
    start(11, 11, List.of());
    fleet.get(host(5)).roster.onNamed(host(11), now);
    run(3_000);

    assertThat(aliveCounts()).hasSize(11).containsOnly(10);
  }

  @Test
  void lastRemainingEntryTakesLead() {
    startFleet(7);
    run(3_000);
    IntStream.rangeClosed(1, 6).forEach(number -> lost.add(host(number)));
    run(4_000);

    assertThat(leaders()).containsExactly(host(7));
  }
}
