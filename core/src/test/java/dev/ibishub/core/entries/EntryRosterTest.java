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

/** Plays fleets whose entries hear each other over the links that their rosters ask for. */
final class EntryRosterTest {
  private static final long BEAT_MILLIS = 200;

  /** Entries of the fleet; the seeds are the last three, so that relays differ from seeds. */
  private final Map<String, Entry> fleet = new TreeMap<>();

  private final Set<String> lost = new HashSet<>();
  private long now = 100_000;
  private long beats;

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

  /** Lets all send heartbeats over the links that there are, for a time. */
  private void passes(long millis) {
    for (long end = now + millis; now < end; now += BEAT_MILLIS) {
      Map<String, Set<String>> links = links();
      links.forEach((host, others) -> others.forEach(other -> beat(host, other)));
    }
  }

  /** Both ends of each link that either end asks for. */
  private Map<String, Set<String>> links() {
    Map<String, Set<String>> links = new TreeMap<>();
    fleet.forEach(
        (host, entry) ->
            entry.roster.wanted(now).stream()
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

  private void beat(String from, String to) {
    beats++;
    Entry sender = fleet.get(from);
    Entry receiver = fleet.get(to);
    receiver.roster.onHeard(sender.facts, now);
    sender
        .roster
        .heard(now)
        .forEach((facts, heardAt) -> receiver.roster.onTold(facts, heardAt, now));
  }

  private List<String> leaders() {
    return fleet.keySet().stream()
        .filter(this::isUp)
        .filter(host -> fleet.get(host).roster.turn(now) == 0)
        .filter(host -> !fleet.get(host).roster.isAnyPending(now))
        .toList();
  }

  private List<Integer> counts() {
    return fleet.keySet().stream()
        .filter(this::isUp)
        .map(host -> fleet.get(host).roster.countAlive(now))
        .toList();
  }

  @Test
  void allHearOfAllAndTheLongestRunningLeads() {
    startFleet(42);
    passes(3_000);

    assertThat(counts()).hasSize(42).containsOnly(41);
    assertThat(leaders()).containsExactly(host(1));
  }

  // An idle fleet of 42 entries sent 8,600 heartbeats a second, as all were linked with all, and
  // that number grows with the square of the fleet.
  @Test
  void heartbeatsOfAnEntryDoNotGrowWithTheFleet() {
    startFleet(42);
    passes(3_000);
    beats = 0;
    passes(1_000);
    int most = 2 * 42 * EntryRoster.RELAYS * 5;

    assertThat(beats).isLessThanOrEqualTo(most);
  }

  @Test
  void lostEntryIsGoneForAllSoonAfter() {
    startFleet(42);
    passes(3_000);
    lost.add(host(20));
    passes(EntryRoster.ALIVE_MILLIS + 2 * BEAT_MILLIS);

    assertThat(counts()).hasSize(41).containsOnly(40);
  }

  // Callers are told of one address in place of 38, and 38 entries take the lead at once. All
  // relays
  // are lost at the same moment, so nobody says any more that the others are there.
  @Test
  void lossOfAllRelaysTakesNobodyElseForGone() {
    startFleet(42);
    passes(3_000);
    IntStream.rangeClosed(1, EntryRoster.RELAYS).forEach(number -> lost.add(host(number)));
    List<Integer> fewest = new ArrayList<>();
    for (long end = now + 6_000; now < end; ) {
      passes(BEAT_MILLIS);
      fewest.addAll(counts());
      assertThat(leaders()).hasSizeLessThanOrEqualTo(1);
    }

    assertThat(fewest).allMatch(count -> count >= 37);
    assertThat(counts()).containsOnly(37);
    assertThat(leaders()).containsExactly(host(EntryRoster.RELAYS + 1));
  }

  @Test
  void lossOfAThirdOfTheFleetLeavesOneLeader() {
    startFleet(42);
    passes(3_000);
    IntStream.rangeClosed(1, 14).forEach(number -> lost.add(host(number)));
    passes(8_000);

    assertThat(counts()).hasSize(28).containsOnly(27);
    assertThat(leaders()).containsExactly(host(15));
  }

  // Maps stand still for a second more each time. An entry that is lost and comes back takes the
  // lead again, although another has just taken over what it did.
  @Test
  void entryThatIsBackDoesNotTakeTheLead() {
    startFleet(7);
    passes(3_000);
    lost.add(host(1));
    passes(2_000);
    lost.remove(host(1));
    start(1, 1_000, List.of(host(5), host(6), host(7)));
    passes(3_000);

    assertThat(counts()).containsOnly(6);
    assertThat(leaders()).containsExactly(host(2));
  }

  @Test
  void entryThatOnlyTheStoreNamesIsFound() {
    startFleet(10);
    passes(3_000);
    start(11, 11, List.of());
    fleet.get(host(5)).roster.onNamed(host(11), now);
    passes(3_000);

    assertThat(counts()).hasSize(11).containsOnly(10);
  }

  @Test
  void entryThatNobodyAnswersLeadsInTheEnd() {
    startFleet(7);
    passes(3_000);
    IntStream.rangeClosed(1, 6).forEach(number -> lost.add(host(number)));
    passes(4_000);

    assertThat(leaders()).containsExactly(host(7));
  }
}
