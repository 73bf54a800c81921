package dev.ibishub.core.serving.crashes;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** Broken runs of which it is not known yet whether their targets crashed. Not thread-safe. */
final class UnconfirmedRuns {
  /**
   * How long after a broken run a crash of its target can still be reported, milliseconds. A target
   * that restarts announces itself within some seconds.
   */
  static final long UNCONFIRMED_MILLIS = 15_000;

  /**
   * How long before the crash of its target a run may have broken off to count as in flight there,
   * and how long after it a run may seem to have been sent, milliseconds.
   */
  static final long COINCIDENCE_MILLIS = 500;

  /** Maximum number of runs; the oldest are evicted. */
  static final int MAXIMUM_RUNS = 2_048;

  private final Deque<CrashedRun> runs = new ArrayDeque<>();
  private final Map<String, End> ends = new BoundedMap<>(CrashEvidence.MAXIMUM_KEPT);

  /**
   * When a target ended.
   *
   * @param earliest from when runs that broke off may have been in flight there
   * @param latest until when runs may have been sent there
   */
  private record End(long earliest, long latest) {
    static End around(long at) {
      return new End(at - COINCIDENCE_MILLIS, at + COINCIDENCE_MILLIS);
    }

    End withLater(End other) {
      return new End(earliest, Math.max(latest, other.latest));
    }

    boolean isInFlight(CrashedRun run) {
      return run.brokenAt() >= earliest && run.sentAt() <= latest;
    }
  }

  /** Adds a run; returns it if its target is known to have crashed meanwhile. */
  List<CrashedRun> onBroken(CrashedRun run) {
    End end = ends.get(run.targetIncarnation());
    if (end != null) {
      return Stream.of(run).filter(end::isInFlight).toList();
    }
    runs.removeIf(other -> run.brokenAt() - other.brokenAt() > UNCONFIRMED_MILLIS);
    runs.addLast(run);
    if (runs.size() > MAXIMUM_RUNS) {
      runs.removeFirst();
    }
    return List.of();
  }

  /**
   * Takes in that a target turned out to have ended at an unknown time; returns what ran there.
   * Runs that are sent there later don't count: the target may be alive, if an older record named
   * its address.
   */
  List<CrashedRun> onEnded(String targetIncarnation, long now) {
    ends.putIfAbsent(targetIncarnation, new End(Long.MIN_VALUE, now));
    return takeRunsAt(targetIncarnation);
  }

  /** Takes in that another entry reported a crash; returns what ran there at that time. */
  List<CrashedRun> onReported(String targetIncarnation, long at) {
    ends.putIfAbsent(targetIncarnation, End.around(at));
    return takeRunsAt(targetIncarnation);
  }

  /** Takes in that a target was found crashed here; returns what ran there at that time. */
  List<CrashedRun> onCrashed(String targetIncarnation, long at) {
    ends.merge(targetIncarnation, End.around(at), End::withLater);
    return takeRunsAt(targetIncarnation);
  }

  private List<CrashedRun> takeRunsAt(String targetIncarnation) {
    End end = ends.get(targetIncarnation);
    List<CrashedRun> ranThere =
        runs.stream().filter(run -> run.targetIncarnation().equals(targetIncarnation)).toList();
    if (!ranThere.isEmpty()) {
      runs.removeIf(run -> run.targetIncarnation().equals(targetIncarnation));
    }
    return ranThere.stream().filter(end::isInFlight).toList();
  }
}
