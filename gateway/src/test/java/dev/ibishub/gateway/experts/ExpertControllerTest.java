package dev.ibishub.gateway.experts;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.gateway.front.TargetDirectory;
import dev.ibishub.gateway.model.CallerLimits;
import dev.ibishub.gateway.model.EngineProfile;
import dev.ibishub.gateway.model.Service;
import dev.ibishub.gateway.model.ServingConfiguration;
import dev.ibishub.gateway.model.Target;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class ExpertControllerTest {
  /** So slow with each request that any uneven demand is worth a map. */
  private static final EngineProfile ENGINE =
      new EngineProfile(8, 5, 2, 6, 150, 800, 75, 1, 4, 3, 2, 100, 100_000, 0.85, 600);

  private static final int RANKS = 2;

  private ServingConfiguration configuration = configuration(ENGINE);
  private final TargetDirectory targets = new TargetDirectory("z");
  private final List<RankOrder> orders = new ArrayList<>();
  private final ExpertController controller =
      new ExpertController(
          targets,
          () -> Optional.of(configuration),
          (target, order) -> {
            orders.add(order);
            return CompletableFuture.completedFuture(RankOrder.Result.DONE);
          },
          InstantSource.system());

  private static ServingConfiguration configuration(EngineProfile engine) {
    return ServingConfiguration.of(
        1,
        List.of(),
        Map.of("models", new Service("models", Optional.of(engine))),
        Map.of(),
        false,
        CallerLimits.DEFAULTS);
  }

  private static String host(int rank) {
    return "10.0.0." + (rank + 1);
  }

  @BeforeEach
  void announce() {
    for (int rank = 0; rank < RANKS; rank++) {
      targets.onAnnounced(new Target("t" + rank, "models", host(rank), 80, "z", 8, false, 1), rank);
    }
  }

  private void hearStates(long now) {
    for (int rank = 0; rank < RANKS; rank++) {
      RankState.Membership place =
          new RankState.Membership("g", 2, rank, RANKS, true, 7, 0, 0, 0, 0, OptionalLong.empty());
      controller.onState(host(rank), new RankState(3, 0, 1, Optional.of(place)), now);
    }
  }

  private void hearMaps() {
    controller.onMap(host(0), new RankEngine.HeldMap(2, 0, new int[][] {{0, 2}}));
    controller.onMap(host(1), new RankEngine.HeldMap(2, 0, new int[][] {{1, 3}}));
  }

  private void hearUnevenPicks() {
    for (long now = 100; now <= 600; now += 100) {
      for (int rank = 0; rank < RANKS; rank++) {
        long[] counts = {now * 90, now, now * 90, now};
        controller.onPicks(host(rank), new RankEngine.Picks(2, counts), now);
      }
    }
  }

  // Nearly every answer is late from a loss of power to the end of the day. The entry that took the
  // lead heard each agent's map before that agent's first report, dropped it as of no known group,
  // and an agent tells its map once.
  @Test
  void mapThatIsToldBeforeTheFirstReportIsUsed() {
    controller.tick(true, 0);
    hearMaps();
    hearStates(50);
    hearUnevenPicks();
    hearStates(650);
    controller.tick(true, 700);

    assertThat(orders).isNotEmpty();
    assertThat(orders).allMatch(order -> order.kind() == RankOrder.Kind.PREPARE);
  }

  @Test
  void entryThatDoesNotLeadGivesNoOrders() {
    hearStates(50);
    hearMaps();
    hearUnevenPicks();
    controller.tick(false, 700);

    assertThat(orders).isEmpty();
  }

  @Test
  void mapOfAnEarlierEpochIsNotUsed() {
    controller.tick(true, 0);
    controller.onMap(host(0), new RankEngine.HeldMap(1, 0, new int[][] {{0, 2}}));
    controller.onMap(host(1), new RankEngine.HeldMap(1, 0, new int[][] {{1, 3}}));
    hearStates(50);
    hearUnevenPicks();
    hearStates(650);
    controller.tick(true, 700);

    assertThat(orders).isEmpty();
  }

  // Streams stutter until the leader changes. It found the group while an older configuration said
  // of the engines that they have one expert, went on by that when the right figures came, and
  // threw every rank's counts away as of another shape.
  @Test
  void newFiguresOfTheEnginesAreUsedForAGroupThatIsKnown() {
    configuration =
        configuration(
            new EngineProfile(8, 5, 2, 6, 150, 800, 75, 1, 1, 3, 2, 100, 100_000, 0.85, 600));
    controller.tick(true, 0);
    hearStates(20);
    configuration = configuration(ENGINE);
    hearMaps();
    hearStates(50);
    hearUnevenPicks();
    hearStates(650);
    controller.tick(true, 700);

    assertThat(orders).isNotEmpty();
  }
}
