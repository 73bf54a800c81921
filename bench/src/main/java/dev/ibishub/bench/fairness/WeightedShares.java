package dev.ibishub.bench.fairness;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What workspaces are due, and how evenly they got it. */
final class WeightedShares {
  private WeightedShares() {}

  /** Max-min fair shares of a capacity: nobody gets more than it asks for. */
  static Map<String, Double> of(List<Claim> claims, double capacity) {
    Map<String, Double> shares = new HashMap<>();
    List<Claim> open = List.copyOf(claims);
    double left = capacity;
    while (!open.isEmpty()) {
      double unit = left / open.stream().mapToDouble(Claim::weight).sum();
      List<Claim> content =
          open.stream().filter(claim -> claim.demand() <= unit * claim.weight()).toList();
      List<Claim> settled = content.isEmpty() ? open : content;
      settled.forEach(
          claim -> shares.put(claim.workspace(), Math.min(claim.demand(), unit * claim.weight())));
      left -= settled.stream().mapToDouble(claim -> shares.get(claim.workspace())).sum();
      open = open.stream().filter(claim -> !settled.contains(claim)).toList();
    }
    return shares;
  }

  /** Jain's index of what each got over what it was due: 1 when all got the same part. */
  static double jainIndex(Map<String, Double> due, Map<String, Double> got) {
    double[] parts =
        due.entrySet().stream()
            .mapToDouble(share -> got.getOrDefault(share.getKey(), 0.0) / share.getValue())
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
   * What a workspace asks for.
   *
   * @param workspace that asks
   * @param weight of the workspace
   * @param demand tokens a second
   */
  record Claim(String workspace, double weight, double demand) {}
}
