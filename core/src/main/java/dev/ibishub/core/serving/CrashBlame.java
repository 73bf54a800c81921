package dev.ibishub.core.serving;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds requests that crash the targets which run them, by what ran where when targets crashed.
 * Thread-safe by one lock.
 *
 * <p>Such a request comes again, and each time a group of ranks stands still for seconds. All that
 * ran at a crashed target is suspected. Most of it is innocent, but hardly any of that is, sent
 * again, at the next target that crashes too, so the second crash decides: the request is
 * quarantined. A request that completes is cleared.
 *
 * <pre>{@code
 * blame.onBroken(run);                     // its connection broke
 * blame.onCrashed(run.targetLife());       // the target turns out to have crashed
 * blame.isQuarantined(run.request(), now); // after a second time: true
 * }</pre>
 */
public final class CrashBlame {
  /** Crashes, one after the other, after which a request is quarantined. */
  public static final int DECIDING_CRASHES = 2;

  /**
   * How long the first quarantine lasts, milliseconds. A request that was quarantined wrongly is
   * served again after this; one that crashes a target once more waits {@link #GROWTH} times longer
   * each time.
   */
  static final long QUARANTINE_MILLIS = 300_000;

  private static final long GROWTH = 10;

  /** How long crashes count that led to no quarantine, milliseconds. */
  static final long SUSPICION_MILLIS = 120_000;

  /**
   * How long after a run broke off its target may turn out to have crashed, milliseconds: a target
   * that is back announces itself within some seconds.
   */
  static final long UNDECIDED_MILLIS = 15_000;

  /**
   * Runs that overlap by no more than this still count as one after the other, milliseconds: runs
   * that other entries tell of are dated later than they were by the time that the message took.
   */
  static final long OVERLAP_MILLIS = 250;

  /** Requests, broken runs and ended lives that are kept of each; beyond it the oldest go. */
  static final int MOST_KEPT = 2_048;

  private final Deque<CrashedRun> undecided = new ArrayDeque<>();
  private final Map<String, Boolean> crashedLives = new OldestLeaves<>();
  private final Map<RequestIdentity, List<CrashedRun>> suspects = new OldestLeaves<>();

  private static final class OldestLeaves<K, V> extends LinkedHashMap<K, V> {
    private static final long serialVersionUID = 1;

    @Override
    protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
      return size() > MOST_KEPT;
    }
  }

  /**
   * Notes a run that broke off.
   *
   * @return the run, where its target is known to have crashed, so that others can be told; else
   *     empty
   */
  public synchronized List<CrashedRun> onBroken(CrashedRun run) {
    if (crashedLives.containsKey(run.targetLife())) {
      return add(run) ? List.of(run) : List.of();
    }
    undecided.removeIf(other -> run.brokenAt() - other.brokenAt() > UNDECIDED_MILLIS);
    undecided.addLast(run);
    if (undecided.size() > MOST_KEPT) {
      undecided.removeFirst();
    }
    return List.of();
  }

  /**
   * Notes that a target crashed.
   *
   * @return what ran there and broke off, so that others can be told
   */
  public synchronized List<CrashedRun> onCrashed(String targetLife) {
    crashedLives.put(targetLife, true);
    List<CrashedRun> ranThere =
        undecided.stream().filter(run -> run.targetLife().equals(targetLife)).toList();
    undecided.removeAll(ranThere);
    return ranThere.stream().filter(this::add).toList();
  }

  /**
   * Takes in a crashed run that another entry noted.
   *
   * @return whether it was news
   */
  public synchronized boolean onTold(CrashedRun run) {
    return add(run);
  }

  /**
   * Clears a request that a target answered.
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

  /** Whether a request must be sent to no target. */
  public synchronized boolean isQuarantined(RequestIdentity request, long now) {
    List<CrashedRun> runs = suspects.getOrDefault(request, List.of());
    int crashes = inARow(runs);
    if (crashes < DECIDING_CRASHES) {
      return false;
    }
    long length = QUARANTINE_MILLIS * (long) Math.pow(GROWTH, crashes - DECIDING_CRASHES);
    return now - lastBrokenAt(runs) < length;
  }

  /** Returns how many crashes, one after the other, a request is suspected of. */
  public synchronized int crashes(RequestIdentity request) {
    return inARow(suspects.getOrDefault(request, List.of()));
  }

  /** Returns all that is held against any request, to tell an entry that has just started. */
  public synchronized List<CrashedRun> all() {
    return suspects.values().stream().flatMap(List::stream).toList();
  }

  private boolean add(CrashedRun run) {
    List<CrashedRun> known = suspects.computeIfAbsent(run.request(), any -> new ArrayList<>());
    if (known.stream().anyMatch(other -> other.targetLife().equals(run.targetLife()))) {
      return false;
    }
    if (inARow(known) < DECIDING_CRASHES) {
      known.removeIf(other -> run.brokenAt() - other.brokenAt() > SUSPICION_MILLIS);
    }
    known.add(run);
    known.sort(Comparator.comparingLong(CrashedRun::brokenAt));
    return true;
  }

  /**
   * Counts the crashes that came one after the other. Targets that fall at the same moment have one
   * cause outside of the requests, or a request that ran at several of them; neither says more than
   * one crash.
   */
  private static int inARow(List<CrashedRun> runs) {
    int crashes = 0;
    long countedAt = 0;
    for (CrashedRun run : runs) {
      if (crashes == 0 || run.sentAt() >= countedAt - OVERLAP_MILLIS) {
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
