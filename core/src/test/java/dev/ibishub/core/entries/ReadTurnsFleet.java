package dev.ibishub.core.entries;

import dev.ibishub.core.entries.ReadSchedule.Decision;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Entries, their links and the store in virtual time: one version is published, and each entry
 * reads it or hears of it. Times are milliseconds.
 */
final class ReadTurnsFleet {
  /** What is wrong with an entry while the fault lasts. */
  enum Fault {
    NONE,
    /** The store rejects each call at once. */
    REJECTED,
    /** The store never responds to the entry. */
    SILENT,
    /** Neither the store nor other entries receive or send anything. */
    CUT_OFF,
    /** The VM stands still. */
    PAUSED,
    /** The process was killed and starts again as the last in order. */
    RESTARTED
  }

  /**
   * Faults of a run.
   *
   * @param fault what happens to the faulty entries
   * @param faulty their positions in order
   * @param from when it begins; until the end of the run, but for a pause or restart
   */
  record Plan(Fault fault, Collection<Integer> faulty, long from) {}

  /**
   * How entries read.
   *
   * @param passesOn whether messages with turns arrive; otherwise all of them are lost
   */
  record Design(ReadTurns turns, boolean passesOn) {}

  private static final long END_MILLIS = 12_000;
  private static final long LINK_MILLIS = 3;
  private static final long CALL_MILLIS = 2;
  private static final long READ_MARGIN_MILLIS = 900;
  private static final long ALIVE_MILLIS = EntryRoster.ALIVE_MILLIS;
  private static final long PAUSE_MILLIS = 4_000;
  private static final long DOWN_MILLIS = 1_000;
  private static final long DISCOVERY_MILLIS = 250;
  private static final long FIRST_TICK_MILLIS = 25;
  private static final long TICK_MILLIS = 100;
  private static final long VIEW_MILLIS = 5;
  private static final long NEVER = Long.MAX_VALUE / 2;

  /** One entry. */
  private final class Entry {
    private final int index;
    private ReadSchedule schedule = new ReadSchedule(design::turns);
    private Fault fault = Fault.NONE;
    private long faultAt = NEVER;
    private long startedAt = -1;
    private int incarnation;
    private boolean isKnown;
    private int version;
    private long inForceAt = NEVER;
    private int heardBefore;

    /** Entries that the turn which this one was passed in this round has been at. */
    private Set<Entry> tried = Set.of();

    Entry(int index) {
      this.index = index;
    }

    boolean isLinked() {
      return fault != Fault.CUT_OFF && !isDown() && now >= startedAt + DISCOVERY_MILLIS;
    }

    boolean isDown() {
      return fault == Fault.RESTARTED && now < faultAt + DOWN_MILLIS;
    }

    boolean isPaused() {
      return fault == Fault.PAUSED && now < faultAt + PAUSE_MILLIS;
    }

    /** Whether another entry counts it as alive. */
    boolean isHeard() {
      boolean isSilent = fault == Fault.CUT_OFF || isPaused() || isDown();
      return isSilent ? now < faultAt + ALIVE_MILLIS : now >= startedAt + DISCOVERY_MILLIS;
    }

    boolean hearsOthers() {
      boolean isDeaf = fault == Fault.CUT_OFF && now >= faultAt + ALIVE_MILLIS;
      return !isDeaf && now >= startedAt + DISCOVERY_MILLIS;
    }

    int turn() {
      updateView();
      return hearsOthers() ? heardBefore : 0;
    }

    int entriesHeard() {
      updateView();
      return hearsOthers() ? heardEntries + (isHeard() ? 0 : 1) : 1;
    }

    void tick() {
      int turn = turn();
      int heard = entriesHeard();
      if (!isDown()) {
        act(schedule.next(now, turn, heard));
      }
      long regular = turn == 0 ? FIRST_TICK_MILLIS : TICK_MILLIS;
      long untilDue = schedule.dueAt(turn, heard) - now;
      at(turn > 0 && untilDue > 0 ? Math.min(untilDue, regular) : regular, this, this::tick);
    }

    private void act(Decision decision) {
      switch (decision.action()) {
        case READ -> read(decision.waitMillis());
        case PASS -> pass(decision.waitMillis());
        default -> {}
      }
    }

    private void pass(long waitMillis) {
      Set<Entry> triedNow = new HashSet<>(tried);
      triedNow.add(this);
      int own = turn();
      List<Entry> others =
          hearsOthers() ? inOrder.stream().filter(Entry::isHeard).toList() : List.of();
      Stream.concat(others.stream().skip(own + 1), others.stream().limit(own))
          .filter(other -> !triedNow.contains(other))
          .findFirst()
          .ifPresent(next -> send(next, triedNow, waitMillis));
    }

    private void send(Entry next, Set<Entry> triedNow, long waitMillis) {
      schedule.onPassed();
      if (design.passesOn() && isLinked() && next.isLinked()) {
        at(linkMillis(this, next), next, () -> next.onTurn(triedNow, waitMillis));
      }
    }

    private void onTurn(Set<Entry> triedBefore, long waitMillis) {
      tried = triedBefore;
      act(schedule.onTurnReceived(now, waitMillis));
    }

    private void read(long waitMillis) {
      calls.add(now);
      Read read = new Read(this, incarnation, version, isKnown ? waitMillis : 0);
      after(CALL_MILLIS, read::arrive);
    }

    void onRead(Read read, int readVersion) {
      schedule.onReadDone();
      take(readVersion);
      entries.stream()
          .filter(other -> other != this && isLinked() && other.isLinked())
          .forEach(
              other ->
                  at(
                      linkMillis(this, other),
                      other,
                      () -> other.onPeer(read.isSnapshot ? 0 : read.from, readVersion)));
    }

    void onPeer(int from, int peerVersion) {
      if (isLinked() && peerVersion >= version && (from == 0 || isKnown)) {
        take(peerVersion);
      }
    }

    private void take(int newVersion) {
      isKnown = true;
      schedule.onConfirmed(now);
      tried = Set.of();
      if (newVersion > version) {
        version = newVersion;
        inForceAt = now;
      }
    }

    void onFailed() {
      schedule.onReadFailed(now, entriesHeard());
      act(schedule.next(now, turn(), entriesHeard()));
    }

    void begin(Fault begun) {
      fault = begun;
      faultAt = now;
      if (begun == Fault.RESTARTED) {
        startedAt = now + DOWN_MILLIS;
        incarnation++;
        isKnown = false;
        version = 0;
        inForceAt = NEVER;
        schedule = new ReadSchedule(design::turns);
        at(DOWN_MILLIS + DISCOVERY_MILLIS, this, this::onLinked);
      }
      reads.stream()
          .filter(read -> read.entry == this)
          .toList()
          .forEach(read -> read.onFault(begun));
    }

    private void onLinked() {
      entries.stream()
          .filter(other -> other != this && other.isLinked() && !other.isPaused() && other.isKnown)
          .findFirst()
          .ifPresent(other -> onPeer(0, other.version));
    }
  }

  /** One call to the store. */
  private final class Read {
    private final Entry entry;
    private final int incarnation;
    private final int from;
    private final long waitMillis;
    private final boolean isSnapshot;
    private final long openedAt = now;

    Read(Entry entry, int incarnation, int from, long waitMillis) {
      this.entry = entry;
      this.incarnation = incarnation;
      this.from = from;
      this.waitMillis = waitMillis;
      this.isSnapshot = !entry.isKnown;
    }

    void arrive() {
      switch (entry.fault) {
        case REJECTED -> finish(entry::onFailed);
        case SILENT, CUT_OFF -> timeOut();
        default -> hold();
      }
    }

    private void hold() {
      if (version > from || waitMillis == 0) {
        answer();
        return;
      }
      reads.add(this);
      after(
          waitMillis,
          () -> {
            if (reads.contains(this)) {
              answer();
            }
          });
    }

    void answer() {
      reads.remove(this);
      int answered = version;
      if (entry.fault == Fault.SILENT || entry.fault == Fault.CUT_OFF) {
        timeOut();
        return;
      }
      finish(() -> entry.onRead(this, answered));
    }

    void onFault(Fault fault) {
      // The store may cut off the open poll of an entry that it rejects, or answer it.
      if (fault == Fault.REJECTED && random.nextBoolean()) {
        reads.remove(this);
        finish(entry::onFailed);
      }
    }

    private void timeOut() {
      long left = openedAt + waitMillis + READ_MARGIN_MILLIS - now;
      at(left, entry, () -> ifSameIncarnation(entry::onFailed));
    }

    private void finish(Runnable outcome) {
      at(CALL_MILLIS, entry, () -> ifSameIncarnation(outcome));
    }

    private void ifSameIncarnation(Runnable outcome) {
      if (entry.incarnation == incarnation) {
        outcome.run();
      }
    }
  }

  private record Event(long at, long number, Runnable action) {}

  private static final Comparator<Entry> ORDER =
      Comparator.<Entry>comparingLong(entry -> entry.startedAt)
          .thenComparingInt(entry -> entry.index);

  private final Design design;
  private final Random random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
  private final List<Entry> entries;
  private final List<Read> reads = new ArrayList<>();
  private final List<Long> calls = new ArrayList<>();
  private long now;
  private long eventNumber;
  private int version;
  private long publishedAt = NEVER;
  private List<Entry> inOrder = List.of();
  private int heardEntries;
  private long viewUntil = -NEVER;

  ReadTurnsFleet(int size, Design design, long seed) {
    this.design = design;
    this.random = new Random(seed);
    this.entries = IntStream.range(0, size).mapToObj(Entry::new).toList();
    entries.forEach(entry -> entry.startedAt = -10_000);
    entries.forEach(entry -> at(random.nextInt((int) TICK_MILLIS), entry, entry::tick));
  }

  /** Plays the faults and the publication of one version to the end. */
  ReadTurnsFleet play(Plan plan, long publishAt) {
    return run(List.of(plan), publishAt, () -> false);
  }

  /** Plays the faults and the publication of one version until it is in force where it can be. */
  ReadTurnsFleet playUntilInForce(Plan plan, long publishAt) {
    return playUntilInForce(List.of(plan), publishAt);
  }

  /** Plays the faults and the publication of one version until it is in force where it can be. */
  ReadTurnsFleet playUntilInForce(List<Plan> plans, long publishAt) {
    long last = plans.stream().mapToLong(Plan::from).max().orElse(0);
    return run(plans, publishAt, () -> now > last && lateness() < END_MILLIS);
  }

  private ReadTurnsFleet run(List<Plan> plans, long publishAt, BooleanSupplier isDone) {
    plans.forEach(
        plan ->
            after(
                plan.from(),
                () -> plan.faulty().forEach(index -> entries.get(index).begin(plan.fault()))));
    after(publishAt, this::publish);
    while (!events.isEmpty() && events.peek().at() <= END_MILLIS && !isDone.getAsBoolean()) {
      Event event = events.poll();
      now = event.at();
      event.action().run();
    }
    return this;
  }

  /**
   * Returns the time from the publication until the version was in force at all entries that are
   * linked to another or can read the store, the time of a pause or restart not counted.
   */
  long lateness() {
    return entries.stream()
        .filter(entry -> entry.fault != Fault.CUT_OFF)
        .mapToLong(
            entry -> {
              boolean isExcused = entry.fault == Fault.PAUSED || entry.fault == Fault.RESTARTED;
              long excusedUntil =
                  entry.faultAt + (entry.fault == Fault.PAUSED ? PAUSE_MILLIS : DOWN_MILLIS);
              return entry.inForceAt
                  - (isExcused ? Math.max(publishedAt, excusedUntil) : publishedAt);
            })
        .max()
        .orElse(0);
  }

  /** Returns the largest number of calls to the store in any second. */
  long mostCallsInSecond() {
    int first = 0;
    int most = 0;
    for (int last = 0; last < calls.size(); last++) {
      while (calls.get(last) - calls.get(first) >= 1_000) {
        first++;
      }
      most = Math.max(most, last - first + 1);
    }
    return most;
  }

  /** Returns the number of calls to the store per second from a time on. */
  double callsPerSecond(long from) {
    return calls.stream().filter(at -> at >= from).count() * 1_000.0 / (END_MILLIS - from);
  }

  /** Notes which entries are heard, as of a few milliseconds ago at the earliest. */
  private void updateView() {
    if (now < viewUntil) {
      return;
    }
    viewUntil = now + VIEW_MILLIS;
    inOrder = entries.stream().sorted(ORDER).toList();
    heardEntries = 0;
    for (Entry entry : inOrder) {
      entry.heardBefore = heardEntries;
      heardEntries += entry.isHeard() ? 1 : 0;
    }
  }

  private void publish() {
    version++;
    publishedAt = now;
    List.copyOf(reads).forEach(Read::answer);
  }

  /** Returns the delay of a message: two links, unless one of the entries is a relay. */
  private long linkMillis(Entry from, Entry to) {
    boolean isDirect = Math.min(from.turn(), to.turn()) < EntryRoster.RELAY_COUNT;
    return isDirect ? LINK_MILLIS : 2 * LINK_MILLIS;
  }

  private void after(long millis, Runnable action) {
    events.add(new Event(now + millis, eventNumber++, action));
  }

  /** Runs an action at an entry, once its VM runs again if it stands still then. */
  private void at(long millis, Entry entry, Runnable action) {
    after(
        millis,
        () -> {
          if (entry.isPaused()) {
            at(entry.faultAt + PAUSE_MILLIS - now, entry, action);
          } else {
            action.run();
          }
        });
  }
}
