package dev.ibishub.core.internal.routing;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Comparator;
import java.util.List;
import java.util.function.IntFunction;
import java.util.stream.IntStream;

/**
 * Which targets a prefix belongs to, best first, by rendezvous hashing over a fixed number of
 * slots: a target that comes or goes moves only the slots that it wins or held, and a lookup takes
 * one access. The second owner takes what is too much for the first, so that the overflow of a
 * prefix meets a warm cache too. Immutable.
 */
final class AffinityTable {
  static final AffinityTable EMPTY = new AffinityTable(List.of());
  private static final int SLOTS = 1024;
  private static final int OWNERS = 2;

  private final List<List<TargetState>> ownersBySlot;

  private AffinityTable(List<List<TargetState>> ownersBySlot) {
    this.ownersBySlot = ownersBySlot;
  }

  private static AffinityTable build(IntFunction<List<TargetState>> ownersOfSlot) {
    return new AffinityTable(IntStream.range(0, SLOTS).mapToObj(ownersOfSlot).toList());
  }

  /** A table in which one more target takes the slots that it wins. */
  AffinityTable with(TargetState target) {
    return ownersBySlot.isEmpty()
        ? build(slot -> List.of(target))
        : build(slot -> best(slot, append(ownersBySlot.get(slot), target)));
  }

  /** A table in which the slots of one target fall to the others. */
  AffinityTable without(TargetState target, List<TargetState> others) {
    if (others.isEmpty()) {
      return EMPTY;
    }
    return build(
        slot -> {
          List<TargetState> owners = ownersBySlot.get(slot);
          return owners.contains(target) ? best(slot, others) : owners;
        });
  }

  /** The owners of a prefix, best first; none in an empty table. */
  List<TargetState> owners(long prefixHash) {
    return ownersBySlot.isEmpty()
        ? List.of()
        : ownersBySlot.get((int) Long.remainderUnsigned(prefixHash, SLOTS));
  }

  private static List<TargetState> append(List<TargetState> owners, TargetState target) {
    return IntStream.rangeClosed(0, owners.size())
        .mapToObj(at -> at < owners.size() ? owners.get(at) : target)
        .toList();
  }

  private static List<TargetState> best(int slot, List<TargetState> targets) {
    return targets.stream()
        .sorted(Comparator.comparingLong((TargetState target) -> score(slot, target)).reversed())
        .limit(OWNERS)
        .toList();
  }

  private static long score(int slot, TargetState target) {
    return Hashing.komihash5_0().hashLongLongToLong(slot, target.hash());
  }
}
