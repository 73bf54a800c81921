package dev.ibishub.core.ranks;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Plans the next map of a group. More fetches per rank make a map more balanced but delay it. So
 * candidate maps are made for increasing numbers of fetches, each building on the previous one, and
 * the candidate with the largest gain is chosen, alone or followed by a later candidate. Stateless
 * and thread-safe. It is used on the platform of ibishub's users; {@code
 * dev.ibishub.core.ExpertPlanner} is its counterpart behind ibishub's own interface.
 */
public final class PlacementPlanner {
  private PlacementPlanner() {}

  /**
   * Planned map.
   *
   * @param map the map
   * @param fetches number of experts to fetch over all ranks
   * @param mostFetchesByOneRank maximum number of experts that any one rank must fetch
   * @param skewBefore skew of the current map, as a multiple of the ideal time
   * @param skewAfter skew of the planned map, as a multiple of the ideal time
   * @param gainMillis net gain of the map, and of one that may follow it, while the demand
   *     persists, in milliseconds of the group's work
   */
  public record Plan(
      GroupMap map,
      int fetches,
      int mostFetchesByOneRank,
      double skewBefore,
      double skewAfter,
      double gainMillis) {}

  private record Candidate(GroupMap map, int fetches, MapCostModel.MapProfile profile) {}

  private record Choice(Candidate candidate, double gainMillis) {}

  /**
   * Plans the next map.
   *
   * @param current the map in use
   * @param demand tokens, by layer set and expert
   * @param slowness relative time for a token, by rank; 1 for a normal rank
   * @param limits limits that the plan must respect
   * @param costModel model of the cost and gain of maps
   * @return the plan, or empty when no map gains more than it costs
   */
  public static Optional<Plan> plan(
      GroupMap current,
      double[][] demand,
      double[] slowness,
      PlacementLimits limits,
      MapCostModel costModel) {
    if (Arrays.stream(demand).flatMapToDouble(Arrays::stream).sum() <= 0) {
      return Optional.empty();
    }
    PlacementSearch search = new PlacementSearch(current, demand, slowness, limits);
    double skewNow = search.skew();
    return choices(candidates(search, skewNow, limits), costModel, skewNow)
        .max(Comparator.comparingDouble(Choice::gainMillis))
        .filter(choice -> choice.gainMillis() > 0)
        .map(choice -> planOf(choice, skewNow));
  }

  /** Returns the maps for 1, 2, 4, ... fetches per rank that improve on the previous one. */
  private static List<Candidate> candidates(
      PlacementSearch search, double skewNow, PlacementLimits limits) {
    List<Candidate> candidates = new ArrayList<>();
    double previousSkew = skewNow;
    for (int fetches : fetchLimits(limits.maximumFetchesPerRank())) {
      search.balance(fetches);
      double skew = search.skew();
      if (skew < previousSkew) {
        MapCostModel.MapProfile profile =
            new MapCostModel.MapProfile(search.mostFetchesByOneRank(), skew);
        candidates.add(new Candidate(search.map(), search.fetches(), profile));
        previousSkew = skew;
      }
    }
    return candidates;
  }

  /** Returns the powers of two below the maximum, and the maximum. */
  private static int[] fetchLimits(int maximum) {
    return IntStream.concat(
            IntStream.iterate(1, fetches -> fetches < maximum, fetches -> 2 * fetches),
            IntStream.of(maximum))
        .toArray();
  }

  private static Stream<Choice> choices(
      List<Candidate> candidates, MapCostModel costModel, double skewNow) {
    return IntStream.range(0, candidates.size())
        .boxed()
        .flatMap(
            first ->
                Stream.concat(
                    Stream.of(withoutSuccessor(candidates.get(first), costModel, skewNow)),
                    candidates.stream()
                        .skip(first + 1L)
                        .map(
                            second ->
                                withSuccessor(candidates.get(first), second, costModel, skewNow))));
  }

  private static Choice withoutSuccessor(
      Candidate candidate, MapCostModel costModel, double skewNow) {
    return new Choice(candidate, costModel.gain(candidate.profile(), skewNow));
  }

  private static Choice withSuccessor(
      Candidate first, Candidate second, MapCostModel costModel, double skewNow) {
    return new Choice(first, costModel.gain(first.profile(), second.profile(), skewNow));
  }

  private static Plan planOf(Choice choice, double skewNow) {
    Candidate candidate = choice.candidate();
    return new Plan(
        candidate.map(),
        candidate.fetches(),
        candidate.profile().fetches(),
        skewNow,
        candidate.profile().skew(),
        choice.gainMillis());
  }
}
