package dev.ibishub.bench.routing;

import dev.ibishub.bench.model.TargetModel;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.IntStream;

/**
 * The conditions of a run.
 *
 * @param name name in the table
 * @param lagSeconds delay of reports
 * @param load demand as a share of the capacity
 * @param disturbance schedules the faults of the run
 */
record Scenario(String name, double lagSeconds, double load, Consumer<RouteRun> disturbance) {
  static final String SLOW_TARGET = "target-3";
  private static final double SLOWDOWN = 2.5;

  static List<Scenario> all() {
    return List.of(
        new Scenario("lag 0 s", 0, 0.8, Scenario::undisturbed),
        new Scenario("lag 0.5 s", 0.5, 0.8, Scenario::undisturbed),
        new Scenario("lag 1 s", 1, 0.8, Scenario::undisturbed),
        new Scenario("lag 2 s", 2, 0.8, Scenario::undisturbed),
        new Scenario("slow target", 0.5, 0.7, Scenario::slowDownTarget),
        new Scenario("targets come and go", 0.5, 0.7, Scenario::replaceTargets),
        new Scenario("domain lost", 0.5, 0.5, Scenario::loseDomain));
  }

  private static void undisturbed(RouteRun run) {}

  private static void slowDownTarget(RouteRun run) {
    run.at(RouteRun.WARM_UP_SECONDS, () -> run.target(SLOW_TARGET).engine().slowDown(SLOWDOWN));
  }

  private static void replaceTargets(RouteRun run) {
    IntStream.range(0, 4)
        .forEach(
            number -> {
              String old = "target-" + (2 + 3 * number);
              run.at(RouteRun.WARM_UP_SECONDS + 5 * number, () -> run.target(old).leave());
              run.at(
                  RouteRun.WARM_UP_SECONDS + 5 * number, () -> run.addLike("new-" + number, old));
            });
  }

  private static void loseDomain(RouteRun run) {
    run.at(
        RouteRun.WARM_UP_SECONDS + 5,
        () ->
            List.copyOf(run.targets()).stream()
                .filter(target -> target.zone().equals(RouteRun.zone(1)))
                .map(TargetModel::id)
                .forEach(run::kill));
  }
}
