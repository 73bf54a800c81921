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
 * Entries that probe each other and exchange digests four times a second, while one dies, one is
 * paused for a moment, one for long, and one link is cut in one direction. The list of VMs names
 * all of them the whole time. Not thread-safe.
 */
final class ViewRun {
  private static final double PERIOD = 0.25;
  private static final double DEATH = 8;
  private static final double SHORT_PAUSE = 14;
  private static final double LONG_PAUSE = 16;
  private static final double LONG_PAUSE_END = 21;
  private static final double CUT = 25;
  private static final double END = 33;
  private static final int DEAD = 0;
  private static final int BLINKS = 1;
  private static final int SLEEPS = 2;
  private static final int DEAF = 3;

  private final EventQueue events = new EventQueue();
  private final List<MemberRecord> records;
  private final List<Membership> views;
  private final Set<Integer> suspectedBlink = new HashSet<>();
  private double deadGoneAt = Double.NaN;
  private double sleeperBackAt = Double.NaN;
  private int cutKilled;
  private double bytes;

  private ViewRun(int entries) {
    records = IntStream.range(0, entries).mapToObj(ViewRun::record).toList();
    views =
        records.stream()
            .map(record -> Membership.create(record, MembershipOptions.defaults()))
            .toList();
  }

  static Result run(int entries) {
    return new ViewRun(entries).go();
  }

  private Result go() {
    views.forEach(
        view -> {
          view.listed(records, events.now());
          view.merge(records, events.now());
        });
    events.every(PERIOD, this::round);
    events.runUntil(END);
    return new Result(
        deadGoneAt - DEATH,
        suspectedBlink.size(),
        sleeperBackAt - LONG_PAUSE_END,
        cutKilled,
        bytes / views.size() / END);
  }

  private void round() {
    IntStream.range(0, views.size()).filter(this::runs).forEach(this::tell);
    look();
  }

  private void tell(int from) {
    Membership view = views.get(from);
    List<MemberRecord> digest = view.digest(events.now());
    int size = MessageMeasures.digestBytes(digest);
    for (MemberRecord peer : view.connectTo()) {
      int to = Integer.parseInt(peer.id().substring("entry-".length()));
      bytes += size;
      if (runs(to) && !isCut(to, from)) {
        view.heard(peer.id(), peer.incarnation(), events.now());
      } else {
        view.missed(peer.id(), events.now());
      }
      if (runs(to) && !isCut(from, to)) {
        views.get(to).merge(digest, events.now());
      }
    }
  }

  private void look() {
    double now = events.seconds();
    if (Double.isNaN(deadGoneAt) && now >= DEATH && all((view, at) -> !isLive(view, DEAD))) {
      deadGoneAt = now;
    }
    if (now >= SHORT_PAUSE && now < LONG_PAUSE) {
      IntStream.range(0, views.size())
          .filter(at -> at != BLINKS && runs(at) && !isLive(views.get(at), BLINKS))
          .forEach(suspectedBlink::add);
    }
    if (Double.isNaN(sleeperBackAt)
        && now >= LONG_PAUSE_END
        && all((view, at) -> at == SLEEPS || isLive(view, SLEEPS))) {
      sleeperBackAt = now;
    }
    if (now >= END - PERIOD) {
      cutKilled =
          (int)
              IntStream.range(0, views.size())
                  .filter(at -> at != DEAF && runs(at) && !isLive(views.get(at), DEAF))
                  .count();
    }
  }

  private boolean all(BiPredicate<Membership, Integer> condition) {
    return IntStream.range(0, views.size())
        .filter(this::runs)
        .allMatch(at -> condition.test(views.get(at), at));
  }

  private static boolean isLive(Membership view, int entry) {
    return view.member("entry-" + entry)
        .filter(record -> record.state() == MemberState.ALIVE)
        .isPresent();
  }

  private boolean runs(int entry) {
    double now = events.seconds();
    return switch (entry) {
      case DEAD -> now < DEATH;
      case BLINKS -> now < SHORT_PAUSE || now >= SHORT_PAUSE + 3 * PERIOD;
      case SLEEPS -> now < LONG_PAUSE || now >= LONG_PAUSE_END;
      default -> true;
    };
  }

  /** One neighbour does not hear one entry any more, though that one hears it. */
  private boolean isCut(int from, int to) {
    return events.seconds() >= CUT && from == DEAF && to == DEAF + 1;
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
   * What was measured.
   *
   * @param deadGoneSeconds until no entry takes the dead one for alive
   * @param suspectedBlink entries that did not take one that paused for 0.75 s for alive
   * @param sleeperBackSeconds until all take one that paused for 5 s for alive again
   * @param cutKilled entries that do not take one for alive that a single neighbour cannot hear
   * @param bytesPerSecond digests that an entry sends
   */
  record Result(
      double deadGoneSeconds,
      int suspectedBlink,
      double sleeperBackSeconds,
      int cutKilled,
      double bytesPerSecond) {}
}
