package dev.ibishub.core.internal.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;

/**
 * The targets that serve one model, adapter, version or service. Thread-safe: readers see an
 * immutable view, writers take the lock.
 */
public final class ServedTargets {
  private static final int MOST_SAMPLED = 64;

  private volatile View view = new View(List.of(), AffinityTable.EMPTY);

  /** Adds a target unless it is there. */
  public synchronized void add(TargetState target) {
    if (view.targets.contains(target)) {
      return;
    }
    List<TargetState> targets = new ArrayList<>(view.targets);
    targets.add(target);
    view = new View(List.copyOf(targets), view.affinity.with(target));
  }

  /** Removes a target if it is there. */
  public synchronized void remove(TargetState target) {
    if (!view.targets.contains(target)) {
      return;
    }
    List<TargetState> others = view.targets.stream().filter(other -> other != target).toList();
    view = new View(others, view.affinity.without(target, others));
  }

  /** All targets. */
  public List<TargetState> all() {
    return view.targets;
  }

  /** The targets that a prefix belongs to, best first. */
  public List<TargetState> owners(long prefixHash) {
    return view.affinity.owners(prefixHash);
  }

  /** Two targets, drawn independently; the same one may come twice. */
  public Stream<TargetState> twoAtRandom(RandomGenerator random) {
    List<TargetState> targets = view.targets;
    return targets.isEmpty()
        ? Stream.empty()
        : random.ints(2, 0, targets.size()).mapToObj(targets::get);
  }

  /** The targets, or so many of them, evenly spread, that a decision stays cheap. */
  public Stream<TargetState> sample() {
    List<TargetState> targets = view.targets;
    int count = Math.min(MOST_SAMPLED, targets.size());
    int[] indexes = new int[count];
    Arrays.setAll(indexes, at -> (int) ((long) at * targets.size() / count));
    return Arrays.stream(indexes).mapToObj(targets::get);
  }

  private record View(List<TargetState> targets, AffinityTable affinity) {}
}
