package dev.ibishub.core.serving;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Identifies requests that crash their targets, from which requests ran on the targets that
 * crashed, and quarantines them. Thread-safe by one lock.
 *
 * <p>Callers and retries send such a request again, and each crash stops a group of ranks for
 * seconds. Every request that ran on a crashed target is suspected. Most of them are innocent, but
 * an innocent one is very unlikely to run on a second target that crashes. Two successive crashes
 * therefore quarantine a request. A request that completes is no longer suspected.
 *
 * <pre>{@code
 * quarantine.onBroken(run);                      // its connection broke
 * quarantine.onCrashed(run.targetIncarnation()); // the target turns out to have crashed
 * quarantine.isQuarantined(run.request(), now);  // after a second crash: true
 * }</pre>
 */
public final class RequestQuarantine {
  /** Successive crashes after which a request is quarantined. */
  public static final int QUARANTINE_CRASH_COUNT = 2;

  /**
   * How long the first quarantine lasts, milliseconds. A request that was quarantined wrongly is
   * served again after this time. Each further crash makes the quarantine {@link
   * #QUARANTINE_GROWTH_FACTOR} times as long.
   */
  static final long FIRST_QUARANTINE_MILLIS = 300_000;

  private static final long QUARANTINE_GROWTH_FACTOR = 10;

  /** How long crashes that have not led to a quarantine count against a request, milliseconds. */
  static final long SUSPICION_MILLIS = 120_000;

  /**
   * How long after a broken run a crash of its target can still be reported, milliseconds. A target
   * that restarts announces itself within some seconds.
   */
  static final long UNCONFIRMED_MILLIS = 15_000;

  /**
   * Overlap up to which two runs still count as successive, milliseconds. Runs reported by other
   * entries are dated too late by the transit time of the message.
   */
  static final long OVERLAP_TOLERANCE_MILLIS = 250;

  /**
   * Maximum number of suspected requests, of unconfirmed runs and of crashed incarnations that are
   * kept, each; beyond it the oldest are evicted.
   */
  static final int MAXIMUM_KEPT = 2_048;

  /** Broken runs whose targets are not known to have crashed, in order of arrival. */
  private final Deque<CrashedRun> unconfirmed = new ArrayDeque<>();

  private final Map<String, Boolean> crashedIncarnations = new BoundedMap<>();
  private final Map<RequestIdentity, List<CrashedRun>> suspects = new BoundedMap<>();

  /** A map that evicts its oldest entry once it exceeds {@link #MAXIMUM_KEPT}. */
  private static final class BoundedMap<K, V> extends LinkedHashMap<K, V> {
    private static final long serialVersionUID = 1;

    @Override
    protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
      return size() > MAXIMUM_KEPT;
    }
  }

  /**
   * Records a run whose connection broke.
   *
   * @return the run, to report to the other entries, if its target is known to have crashed and the
   *     run was not known; otherwise empty
   */
  public synchronized List<CrashedRun> onBroken(CrashedRun run) {
    if (crashedIncarnations.containsKey(run.targetIncarnation())) {
      return add(run) ? List.of(run) : List.of();
    }
    unconfirmed.removeIf(other -> run.brokenAt() - other.brokenAt() > UNCONFIRMED_MILLIS);
    unconfirmed.addLast(run);
    if (unconfirmed.size() > MAXIMUM_KEPT) {
      unconfirmed.removeFirst();
    }
    return List.of();
  }

  /**
   * Records that a target crashed.
   *
   * @param targetIncarnation the target incarnation that ended
   * @return the broken runs of that incarnation, to report to the other entries
   */
  public synchronized List<CrashedRun> onCrashed(String targetIncarnation) {
    crashedIncarnations.put(targetIncarnation, true);
    List<CrashedRun> ranThere =
        unconfirmed.stream()
            .filter(run -> run.targetIncarnation().equals(targetIncarnation))
            .toList();
    unconfirmed.removeAll(ranThere);
    return ranThere.stream().filter(this::add).toList();
  }

  /**
   * Records a crashed run that another entry reported.
   *
   * @return whether it was not known yet
   */
  public synchronized boolean onReport(CrashedRun run) {
    return add(run);
  }

  /**
   * Clears a request that a target has answered.
   *
   * @return whether it was suspected
   */
  public synchronized boolean onCompleted(RequestIdentity request) {
    return suspects.remove(request) != null;
  }

  /** Whether any request is suspected. */
  public synchronized boolean suspectsAny() {
    return !suspects.isEmpty();
  }

  /** Whether a request is quarantined, so that it must not be sent to any target. */
  public synchronized boolean isQuarantined(RequestIdentity request, long now) {
    List<CrashedRun> runs = suspects.getOrDefault(request, List.of());
    int crashes = successiveCrashes(runs);
    if (crashes < QUARANTINE_CRASH_COUNT) {
      return false;
    }
    long length =
        FIRST_QUARANTINE_MILLIS
            * (long) Math.pow(QUARANTINE_GROWTH_FACTOR, crashes - QUARANTINE_CRASH_COUNT);
    return now - lastBrokenAt(runs) < length;
  }

  /** Returns the number of successive crashes that a request is suspected of. */
  public synchronized int crashes(RequestIdentity request) {
    return successiveCrashes(suspects.getOrDefault(request, List.of()));
  }

  /** Returns the crashed runs of all suspected requests, to send to an entry that has started. */
  public synchronized List<CrashedRun> all() {
    return suspects.values().stream().flatMap(List::stream).toList();
  }

  private boolean add(CrashedRun run) {
    List<CrashedRun> known = suspects.computeIfAbsent(run.request(), any -> new ArrayList<>());
    if (known.stream()
        .anyMatch(other -> other.targetIncarnation().equals(run.targetIncarnation()))) {
      return false;
    }
    if (successiveCrashes(known) < QUARANTINE_CRASH_COUNT) {
      known.removeIf(other -> run.brokenAt() - other.brokenAt() > SUSPICION_MILLIS);
    }
    known.add(run);
    known.sort(Comparator.comparingLong(CrashedRun::brokenAt));
    return true;
  }

  /**
   * Counts the crashes that followed one another. Targets that crash at the same time share one
   * cause: something other than the requests, or one request that ran on several of them. They
   * count as one crash.
   */
  private static int successiveCrashes(List<CrashedRun> runs) {
    int crashes = 0;
    long countedAt = 0;
    for (CrashedRun run : runs) {
      if (crashes == 0 || run.sentAt() >= countedAt - OVERLAP_TOLERANCE_MILLIS) {
        crashes++;
        countedAt = run.brokenAt();
      }
    }
    return crashes;
  }

  private static long lastBrokenAt(List<CrashedRun> runs) {
    return runs.get(runs.size() - 1).brokenAt();
  }
}
