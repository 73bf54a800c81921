package dev.ibishub.bench.fairness;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Computes weighted max-min fair shares and the fairness of an allocation. */
final class WeightedShares {
  private WeightedShares() {}

  /** Returns the max-min fair shares of a capacity; no share exceeds its demand. */
  static Map<String, Double> of(List<Demand> demands, double capacity) {
    Map<String, Double> shares = new HashMap<>();
    List<Demand> open = List.copyOf(demands);
    double remaining = capacity;
    while (!open.isEmpty()) {
      double perWeight = remaining / open.stream().mapToDouble(Demand::weight).sum();
      List<Demand> satisfied =
          open.stream()
              .filter(demand -> demand.tokensPerSecond() <= perWeight * demand.weight())
              .toList();
      List<Demand> settled = satisfied.isEmpty() ? open : satisfied;
      settled.forEach(
          demand ->
              shares.put(
                  demand.workspace(),
                  Math.min(demand.tokensPerSecond(), perWeight * demand.weight())));
      remaining -= settled.stream().mapToDouble(demand -> shares.get(demand.workspace())).sum();
      open = open.stream().filter(demand -> !settled.contains(demand)).toList();
    }
    return shares;
  }

  /** Returns Jain's index of received over entitled tokens: 1 if the ratio is equal for all. */
  static double jainIndex(Map<String, Double> entitled, Map<String, Double> received) {
    double[] parts =
        entitled.entrySet().stream()
            .mapToDouble(share -> received.getOrDefault(share.getKey(), 0.0) / share.getValue())
            .toArray();
    double sum = 0;
    double squares = 0;
    for (double part : parts) {
      sum += part;
      squares += part * part;
    }
    return sum * sum / (parts.length * squares);
  }

  /**
   * The demand of a workspace.
   *
   * @param workspace name of the workspace
   * @param weight weight of the workspace
   * @param tokensPerSecond tokens a second that it asks for
   */
  record Demand(String workspace, double weight, double tokensPerSecond) {}
}
