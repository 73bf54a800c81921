package dev.ibishub.core.serving.crashes;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;

/** Broken runs of which it is not known yet whether their targets crashed. Not thread-safe. */
final class UnconfirmedRuns {
  /**
   * How long after a broken run a crash of its target can still be reported, milliseconds. A target
   * that restarts announces itself within some seconds.
   */
  static final long UNCONFIRMED_MILLIS = 15_000;

  /**
   * How long before the crash of its target a run may have broken off to count as in flight there,
   * milliseconds.
   */
  static final long COINCIDENCE_MILLIS = 500;

  /** Maximum number of runs; the oldest are evicted. */
  static final int MAXIMUM_RUNS = 2_048;

  private static final long UNKNOWN_TIME = Long.MIN_VALUE;

  private final Deque<CrashedRun> runs = new ArrayDeque<>();
  private final Map<String, Long> crashedAt = new BoundedMap<>(CrashEvidence.MAXIMUM_KEPT);

  /** Adds a run; returns it if its target is known to have crashed meanwhile. */
  List<CrashedRun> onBroken(CrashedRun run) {
    if (crashedAt.containsKey(run.targetIncarnation())) {
      return isInFlightAtCrash(run) ? List.of(run) : List.of();
    }
    runs.removeIf(other -> run.brokenAt() - other.brokenAt() > UNCONFIRMED_MILLIS);
    runs.addLast(run);
    if (runs.size() > MAXIMUM_RUNS) {
      runs.removeFirst();
    }
    return List.of();
  }

  /** Takes in that a target crashed at an unknown time; returns what ran there. */
  List<CrashedRun> onCrashed(String targetIncarnation) {
    return onCrashed(targetIncarnation, UNKNOWN_TIME);
  }

  /** Takes in that a target crashed; returns what ran there at that time. */
  List<CrashedRun> onCrashed(String targetIncarnation, long at) {
    crashedAt.putIfAbsent(targetIncarnation, at);
    List<CrashedRun> ranThere =
        runs.stream().filter(run -> run.targetIncarnation().equals(targetIncarnation)).toList();
    if (!ranThere.isEmpty()) {
      runs.removeIf(run -> run.targetIncarnation().equals(targetIncarnation));
    }
    return ranThere.stream().filter(this::isInFlightAtCrash).toList();
  }

  private boolean isInFlightAtCrash(CrashedRun run) {
    long crash = crashedAt.get(run.targetIncarnation());
    return crash == UNKNOWN_TIME || run.brokenAt() >= crash - COINCIDENCE_MILLIS;
  }
}
