package dev.ibishub.core.internal.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;

/**
 * The targets that serve one model, adapter, version or service. Thread-safe: readers see an
 * immutable snapshot, writers take a lock.
 */
public final class ServedTargets {
  private static final int MAXIMUM_SAMPLE = 64;

  private volatile View view = new View(List.of(), AffinityTable.EMPTY);

  /** Adds a target; no effect if it is present. */
  public synchronized void add(TargetState target) {
    if (view.targets.contains(target)) {
      return;
    }
    List<TargetState> targets = new ArrayList<>(view.targets);
    targets.add(target);
    view = new View(List.copyOf(targets), view.affinity.with(target));
  }

  /** Removes a target; no effect if it is absent. */
  public synchronized void remove(TargetState target) {
    if (!view.targets.contains(target)) {
      return;
    }
    List<TargetState> others = view.targets.stream().filter(other -> other != target).toList();
    view = new View(others, view.affinity.without(target, others));
  }

  /** Returns all targets. */
  public List<TargetState> all() {
    return view.targets;
  }

  /** Returns the targets that own a prefix, best first. */
  public List<TargetState> owners(long prefixHash) {
    return view.affinity.owners(prefixHash);
  }

  /**
   * Returns two targets drawn independently at random, so that they may be the same one; empty if
   * there are none.
   */
  public Stream<TargetState> twoAtRandom(RandomGenerator random) {
    List<TargetState> targets = view.targets;
    return targets.isEmpty()
        ? Stream.empty()
        : random.ints(2, 0, targets.size()).mapToObj(targets::get);
  }

  /** Returns up to 64 targets, evenly spread over the list, to bound the cost of a decision. */
  public Stream<TargetState> sample() {
    List<TargetState> targets = view.targets;
    int count = Math.min(MAXIMUM_SAMPLE, targets.size());
    int[] indexes = new int[count];
    Arrays.setAll(indexes, index -> (int) ((long) index * targets.size() / count));
    return Arrays.stream(indexes).mapToObj(targets::get);
  }

  private record View(List<TargetState> targets, AffinityTable affinity) {}
}
