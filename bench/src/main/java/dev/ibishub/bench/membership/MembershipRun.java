package dev.ibishub.bench.membership;

import dev.ibishub.bench.capacity.MessageMeasures;
import dev.ibishub.bench.model.EventQueue;
import dev.ibishub.core.MemberRecord;
import dev.ibishub.core.MemberRole;
import dev.ibishub.core.MemberState;
import dev.ibishub.core.Membership;
import dev.ibishub.core.MembershipOptions;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.stream.IntStream;

/**
 * Simulation of entries that probe each other and exchange digests four times a second, while one
 * dies, one is paused briefly, one is paused for 5 s, and one link is cut in one direction. The
 * list of VMs contains all entries throughout. Not thread-safe.
 */
final class MembershipRun {
  private static final double PERIOD_SECONDS = 0.25;
  private static final double DEATH_SECOND = 8;
  private static final double SHORT_PAUSE_SECOND = 14;
  private static final double LONG_PAUSE_SECOND = 16;
  private static final double LONG_PAUSE_END_SECOND = 21;
  private static final double CUT_SECOND = 25;
  private static final double END_SECOND = 33;
  private static final int DEAD = 0;
  private static final int PAUSED_BRIEFLY = 1;
  private static final int PAUSED_LONG = 2;
  private static final int UNHEARD = 3;

  private final EventQueue events = new EventQueue();
  private final List<MemberRecord> records;
  private final List<Membership> views;
  private final Set<Integer> suspectedInShortPause = new HashSet<>();
  private double deathDetectedAt = Double.NaN;
  private double longPauseRecoveredAt = Double.NaN;
  private int suspectedOnOneWayCut;
  private double bytes;

  private MembershipRun(int entries) {
    records = IntStream.range(0, entries).mapToObj(MembershipRun::record).toList();
    views =
        records.stream()
            .map(record -> Membership.create(record, MembershipOptions.defaults()))
            .toList();
  }

  static Result run(int entries) {
    return new MembershipRun(entries).simulate();
  }

  private Result simulate() {
    views.forEach(
        view -> {
          view.applyList(records, events.now());
          view.merge(records, events.now());
        });
    events.every(PERIOD_SECONDS, this::round);
    events.runUntil(END_SECOND);
    return new Result(
        deathDetectedAt - DEATH_SECOND,
        suspectedInShortPause.size(),
        longPauseRecoveredAt - LONG_PAUSE_END_SECOND,
        suspectedOnOneWayCut,
        bytes / views.size() / END_SECOND);
  }

  private void round() {
    IntStream.range(0, views.size()).filter(this::isRunning).forEach(this::gossip);
    observe();
  }

  private void gossip(int from) {
    Membership view = views.get(from);
    List<MemberRecord> digest = view.digest(events.now());
    int size = MessageMeasures.digestBytes(digest);
    for (MemberRecord peer : view.membersToLink()) {
      int to = Integer.parseInt(peer.id().substring("entry-".length()));
      bytes += size;
      if (isRunning(to) && !isCut(to, from)) {
        view.recordContact(peer.id(), peer.incarnation(), events.now());
      } else {
        view.recordFailedProbe(peer.id(), events.now());
      }
      if (isRunning(to) && !isCut(from, to)) {
        views.get(to).merge(digest, events.now());
      }
    }
  }

  private void observe() {
    double now = events.seconds();
    if (Double.isNaN(deathDetectedAt)
        && now >= DEATH_SECOND
        && all((view, at) -> !isLive(view, DEAD))) {
      deathDetectedAt = now;
    }
    if (now >= SHORT_PAUSE_SECOND && now < LONG_PAUSE_SECOND) {
      IntStream.range(0, views.size())
          .filter(
              at -> at != PAUSED_BRIEFLY && isRunning(at) && !isLive(views.get(at), PAUSED_BRIEFLY))
          .forEach(suspectedInShortPause::add);
    }
    if (Double.isNaN(longPauseRecoveredAt)
        && now >= LONG_PAUSE_END_SECOND
        && all((view, at) -> at == PAUSED_LONG || isLive(view, PAUSED_LONG))) {
      longPauseRecoveredAt = now;
    }
    if (now >= END_SECOND - PERIOD_SECONDS) {
      suspectedOnOneWayCut =
          (int)
              IntStream.range(0, views.size())
                  .filter(at -> at != UNHEARD && isRunning(at) && !isLive(views.get(at), UNHEARD))
                  .count();
    }
  }

  private boolean all(BiPredicate<Membership, Integer> condition) {
    return IntStream.range(0, views.size())
        .filter(this::isRunning)
        .allMatch(at -> condition.test(views.get(at), at));
  }

  private static boolean isLive(Membership view, int entry) {
    return view.member("entry-" + entry)
        .filter(record -> record.state() == MemberState.ALIVE)
        .isPresent();
  }

  private boolean isRunning(int entry) {
    double now = events.seconds();
    return switch (entry) {
      case DEAD -> now < DEATH_SECOND;
      case PAUSED_BRIEFLY ->
          now < SHORT_PAUSE_SECOND || now >= SHORT_PAUSE_SECOND + 3 * PERIOD_SECONDS;
      case PAUSED_LONG -> now < LONG_PAUSE_SECOND || now >= LONG_PAUSE_END_SECOND;
      default -> true;
    };
  }

  /**
   * Returns whether the link is cut: one neighbour no longer receives from one entry, which still
   * receives from it.
   */
  private boolean isCut(int from, int to) {
    return events.seconds() >= CUT_SECOND && from == UNHEARD && to == UNHEARD + 1;
  }

  private static MemberRecord record(int number) {
    return new MemberRecord(
        "entry-" + number,
        MemberRole.ENTRY,
        "region-1-zone-" + number % 13,
        "10.0." + number / 250 + "." + number % 250,
        7000,
        "http://10.0." + number / 250 + "." + number % 250 + ":8000",
        1,
        0,
        MemberState.ALIVE,
        3);
  }

  /**
   * The results of a run.
   *
   * @param deathDetectionSeconds time from the death of an entry until none considers it alive
   * @param suspectedInShortPause number of entries that did not consider the entry alive that was
   *     paused for 0.75 s
   * @param longPauseRecoverySeconds time from the end of the 5 s pause until all consider that
   *     entry alive
   * @param suspectedOnOneWayCut number of entries that do not consider the entry alive from which
   *     one neighbour cannot receive
   * @param bytesPerSecond mean bytes a second of digests that an entry sends
   */
  record Result(
      double deathDetectionSeconds,
      int suspectedInShortPause,
      double longPauseRecoverySeconds,
      int suspectedOnOneWayCut,
      double bytesPerSecond) {}
}
