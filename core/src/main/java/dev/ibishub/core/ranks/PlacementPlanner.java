package dev.ibishub.core.ranks;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Plans the next map of a group. The more experts each rank may fetch the more even the map becomes
 * and the later it is there, so maps are made for ever more fetches, each on top of the one before,
 * and the one is chosen that gains most, alone or followed by one of the others. Stateless.
 */
public final class PlacementPlanner {
  private PlacementPlanner() {}

  /**
   * A planned map.
   *
   * @param map the map
   * @param fetches how many experts have to be copied in all
   * @param fetchesOfARank how many of them by the rank that has to copy most
   * @param skewBefore times the least time that the slowest ranks take now
   * @param skewAfter and would take with the map
   * @param gainMillis what the map, and one that may follow it, gain as long as the demand stands,
   *     in milliseconds of the group's work
   */
  public record Plan(
      GroupMap map,
      int fetches,
      int fetchesOfARank,
      double skewBefore,
      double skewAfter,
      double gainMillis) {}

  private record Stage(GroupMap map, int fetches, MapEconomy.Step step) {}

  private record Choice(Stage stage, double gainMillis) {}

  /**
   * Plans.
   *
   * @param current the map in use
   * @param demand tokens by set and expert
   * @param slowness time that each rank takes for a token, 1 for the usual time
   * @param limits what the plan has to keep
   * @param economy what maps cost and gain
   * @return the plan, or empty when no map gains more than it costs
   */
  public static Optional<Plan> plan(
      GroupMap current,
      double[][] demand,
      double[] slowness,
      PlacementLimits limits,
      MapEconomy economy) {
    if (Arrays.stream(demand).flatMapToDouble(Arrays::stream).sum() <= 0) {
      return Optional.empty();
    }
    PlacementSearch search = new PlacementSearch(current, demand, slowness, limits);
    double skewNow = search.skew();
    return choices(stages(search, skewNow, limits), economy, skewNow)
        .max(Comparator.comparingDouble(Choice::gainMillis))
        .filter(choice -> choice.gainMillis() > 0)
        .map(choice -> planOf(choice, skewNow));
  }

  /** The maps for one fetch a rank, two, four and so on, each more even than the one before. */
  private static List<Stage> stages(
      PlacementSearch search, double skewNow, PlacementLimits limits) {
    List<Stage> stages = new ArrayList<>();
    double skewBefore = skewNow;
    for (int fetches : fetchLimits(limits.newPerRank())) {
      search.improve(fetches);
      double skew = search.skew();
      if (skew < skewBefore) {
        MapEconomy.Step step = new MapEconomy.Step(search.mostFetchesOfARank(), skew);
        stages.add(new Stage(search.map(), search.fetches(), step));
        skewBefore = skew;
      }
    }
    return stages;
  }

  /** One, two, four and so on, and last the most. */
  private static int[] fetchLimits(int most) {
    return IntStream.concat(
            IntStream.iterate(1, fetches -> fetches < most, fetches -> 2 * fetches),
            IntStream.of(most))
        .toArray();
  }

  private static Stream<Choice> choices(List<Stage> stages, MapEconomy economy, double skewNow) {
    return IntStream.range(0, stages.size())
        .boxed()
        .flatMap(
            first ->
                Stream.concat(
                    Stream.of(alone(stages.get(first), economy, skewNow)),
                    stages.stream()
                        .skip(first + 1L)
                        .map(second -> followed(stages.get(first), second, economy, skewNow))));
  }

  private static Choice alone(Stage stage, MapEconomy economy, double skewNow) {
    return new Choice(stage, economy.gain(stage.step(), skewNow));
  }

  private static Choice followed(Stage first, Stage second, MapEconomy economy, double skewNow) {
    return new Choice(first, economy.gain(first.step(), second.step(), skewNow));
  }

  private static Plan planOf(Choice choice, double skewNow) {
    Stage stage = choice.stage();
    return new Plan(
        stage.map(),
        stage.fetches(),
        stage.step().fetches(),
        skewNow,
        stage.step().skew(),
        choice.gainMillis());
  }
}
