package dev.ibishub.core.internal.routing;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

/**
 * Which target a prefix belongs to, by rendezvous hashing over a fixed number of slots: a target
 * that comes or goes moves only the slots that it wins or held, and a lookup takes one array
 * access. Immutable.
 */
final class AffinityTable {
  static final AffinityTable EMPTY = new AffinityTable(new TargetState[0]);
  private static final int SLOTS = 1024;

  private final TargetState[] owners;

  private AffinityTable(TargetState[] owners) {
    this.owners = owners;
  }

  static AffinityTable of(List<TargetState> targets) {
    if (targets.isEmpty()) {
      return EMPTY;
    }
    TargetState[] owners = new TargetState[SLOTS];
    Arrays.setAll(owners, slot -> winner(slot, targets));
    return new AffinityTable(owners);
  }

  /** A table in which one more target takes the slots that it wins. */
  AffinityTable with(TargetState target) {
    if (owners.length == 0) {
      return of(List.of(target));
    }
    TargetState[] changed = owners.clone();
    Arrays.setAll(
        changed, slot -> score(slot, target) > score(slot, changed[slot]) ? target : changed[slot]);
    return new AffinityTable(changed);
  }

  /** A table in which the slots of one target fall to the others. */
  AffinityTable without(TargetState target, List<TargetState> others) {
    if (others.isEmpty()) {
      return EMPTY;
    }
    TargetState[] changed = owners.clone();
    Arrays.setAll(changed, slot -> changed[slot] == target ? winner(slot, others) : changed[slot]);
    return new AffinityTable(changed);
  }

  /** The owner of a prefix; the table must not be empty. */
  TargetState owner(long prefixHash) {
    return owners[(int) Long.remainderUnsigned(prefixHash, SLOTS)];
  }

  private static TargetState winner(int slot, List<TargetState> targets) {
    return targets.stream()
        .max(Comparator.comparingLong(target -> score(slot, target)))
        .orElseThrow();
  }

  private static long score(int slot, TargetState target) {
    return Hashing.komihash5_0().hashLongLongToLong(slot, target.hash());
  }
}
