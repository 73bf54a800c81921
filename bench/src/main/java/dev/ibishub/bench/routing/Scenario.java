package dev.ibishub.bench.routing;

import dev.ibishub.bench.model.TargetModel;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.IntStream;

/**
 * What happens in a run.
 *
 * @param name in the table
 * @param lagSeconds how late reports are
 * @param load share of the capacity that is asked for
 * @param disturbance schedules what goes wrong
 */
record Scenario(String name, double lagSeconds, double load, Consumer<RouteRun> disturbance) {
  static final String SLOW_TARGET = "target-3";
  private static final double SLOWDOWN = 2.5;

  static List<Scenario> all() {
    return List.of(
        new Scenario("lag 0 s", 0, 0.8, Scenario::nothing),
        new Scenario("lag 0.5 s", 0.5, 0.8, Scenario::nothing),
        new Scenario("lag 1 s", 1, 0.8, Scenario::nothing),
        new Scenario("lag 2 s", 2, 0.8, Scenario::nothing),
        new Scenario("slow target", 0.5, 0.7, Scenario::slowTarget),
        new Scenario("targets come and go", 0.5, 0.7, Scenario::comeAndGo),
        new Scenario("domain lost", 0.5, 0.5, Scenario::domainLost));
  }

  private static void nothing(RouteRun run) {}

  private static void slowTarget(RouteRun run) {
    run.at(RouteRun.WARM_UP, () -> run.target(SLOW_TARGET).engine().slowDown(SLOWDOWN));
  }

  private static void comeAndGo(RouteRun run) {
    IntStream.range(0, 4)
        .forEach(
            number -> {
              String old = "target-" + (2 + 3 * number);
              run.at(RouteRun.WARM_UP + 5 * number, () -> run.target(old).leave());
              run.at(RouteRun.WARM_UP + 5 * number, () -> run.join("new-" + number, old));
            });
  }

  private static void domainLost(RouteRun run) {
    run.at(
        RouteRun.WARM_UP + 5,
        () ->
            List.copyOf(run.targets()).stream()
                .filter(target -> target.zone().equals(RouteRun.zone(1)))
                .map(TargetModel::id)
                .forEach(run::kill));
  }
}
