package dev.ibishub.core.internal.routing;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Comparator;
import java.util.List;
import java.util.function.IntFunction;
import java.util.stream.IntStream;

/**
 * Assignment of prompt prefixes to target owners by rendezvous hashing over a fixed number of
 * slots. A target that is added or removed moves only the slots that it wins or held, and a lookup
 * is one list access. Each slot has a second owner for the load that exceeds the first one's
 * capacity, so that this overflow finds a warm cache too. Immutable.
 */
final class AffinityTable {
  static final AffinityTable EMPTY = new AffinityTable(List.of());
  private static final int SLOTS = 1024;
  private static final int OWNERS_PER_SLOT = 2;

  private final List<List<TargetState>> ownersBySlot;

  private AffinityTable(List<List<TargetState>> ownersBySlot) {
    this.ownersBySlot = ownersBySlot;
  }

  private static AffinityTable build(IntFunction<List<TargetState>> ownersOfSlot) {
    return new AffinityTable(IntStream.range(0, SLOTS).mapToObj(ownersOfSlot).toList());
  }

  /** Returns a table in which an added target takes the slots that it wins. */
  AffinityTable with(TargetState target) {
    return ownersBySlot.isEmpty()
        ? build(slot -> List.of(target))
        : build(slot -> best(slot, append(ownersBySlot.get(slot), target)));
  }

  /** Returns a table in which the slots of a removed target go to the others. */
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

  /** Returns the owners of a prefix, best first; empty for an empty table. */
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
        .limit(OWNERS_PER_SLOT)
        .toList();
  }

  private static long score(int slot, TargetState target) {
    return Hashing.komihash5_0().hashLongLongToLong(slot, target.hash());
  }
}
