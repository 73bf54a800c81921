package dev.ibishub.entry;

import dev.ibishub.core.Configuration.Group;
import dev.ibishub.core.ExpertMap;
import dev.ibishub.core.ExpertPlanner;
import dev.ibishub.core.ExpertPlannerOptions;
import dev.ibishub.core.RankSlowness;
import dev.ibishub.core.RankStatus;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

/** Plans a group's next expert map from the statuses of its ranks. Not thread-safe. */
final class ExpertBalancer implements GroupController.Planner {
  private static final int BYTES_PER_SLOT = 2;

  private final Group group;
  private final ExpertPlanner planner;

  ExpertBalancer(Group group) {
    this.group = group;
    this.planner =
        ExpertPlanner.create(
            group.costWeight() > group.skewWeight()
                ? ExpertPlannerOptions.preferringFewMoves()
                : ExpertPlannerOptions.preferringEvenSteps());
  }

  @Override
  public Optional<byte[]> plan(List<RankStatus> statuses, Optional<byte[]> bytes, Instant now) {
    return bytes.filter(this::fitsGroup).flatMap(present -> plan(statuses, present, now));
  }

  private Optional<byte[]> plan(List<RankStatus> statuses, byte[] bytes, Instant now) {
    int slots = bytes.length / (BYTES_PER_SLOT * group.layers() * group.ranks());
    ExpertMap map = ExpertMap.fromBytes(group.layers(), group.ranks(), slots, bytes);
    double[] popularity = popularity(statuses);
    // Engines report expert popularity summed over all layers, so every layer is planned from the
    // same figures.
    double[][] byLayer = new double[group.layers()][];
    Arrays.fill(byLayer, popularity);
    double[] slowness =
        RankSlowness.of(
            loads(map, popularity),
            statuses.stream().mapToDouble(RankStatus::stepMillis).toArray());
    return planner.plan(map, byLayer, slowness, Instant.MIN, now).map(plan -> plan.map().toBytes());
  }

  private boolean fitsGroup(byte[] bytes) {
    int row = BYTES_PER_SLOT * group.layers() * group.ranks();
    return bytes.length > 0 && bytes.length % row == 0;
  }

  private double[] popularity(List<RankStatus> statuses) {
    return IntStream.range(0, group.experts())
        .mapToDouble(
            expert ->
                statuses.stream()
                    .map(RankStatus::expertPopularity)
                    .filter(reported -> expert < reported.size())
                    .mapToDouble(reported -> reported.get(expert))
                    .sum())
        .toArray();
  }

  /**
   * Returns the tokens that each rank gets in the first layer, with the tokens of an expert spread
   * evenly over its replicas.
   */
  private double[] loads(ExpertMap map, double[] popularity) {
    int[] replicas = new int[group.experts()];
    forEachSlot(map, (rank, expert) -> replicas[expert]++);
    double[] loads = new double[map.ranks()];
    forEachSlot(map, (rank, expert) -> loads[rank] += popularity[expert] / replicas[expert]);
    return loads;
  }

  private static void forEachSlot(ExpertMap map, SlotVisitor visitor) {
    for (int rank = 0; rank < map.ranks(); rank++) {
      for (int slot = 0; slot < map.slots(); slot++) {
        visitor.visit(rank, map.expert(0, rank, slot));
      }
    }
  }

  @FunctionalInterface
  private interface SlotVisitor {
    void visit(int rank, int expert);
  }
}
