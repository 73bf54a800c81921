package dev.ibishub.core.serving;

import java.util.Comparator;
import java.util.Set;

/**
 * A rule by which the entries divide a rate limit that a target has set for all of them together.
 * Implementations are thread-safe.
 */
@FunctionalInterface
public interface LimitDivision {
  /**
   * Returns one entry's share of a limit.
   *
   * @param ownHost the entry's host
   * @param hosts hosts of the entries that send requests
   * @param targetIncarnation the target incarnation that set the limit
   * @param requestsPerSecond the limit
   * @return requests per second, 0 for an entry that must not send
   */
  double share(
      String ownHost, Set<String> hosts, String targetIncarnation, double requestsPerSecond);

  /**
   * Returns a rule that divides a limit evenly among a few entries, its holders. There is one
   * holder for each whole request per second of the limit, but at least one and at most as many as
   * there are entries. More holders would make bursts larger, as each may send its first request at
   * any moment.
   *
   * <p>Holders are chosen by rendezvous hashing of host and target. If two entries know different
   * sets of hosts, their choices differ only by the hosts that one of them does not know.
   */
  static LimitDivision amongFewHolders() {
    return (ownHost, hosts, targetIncarnation, requestsPerSecond) -> {
      int holderCount = holderCount(hosts, requestsPerSecond);
      return isHolder(ownHost, hosts, targetIncarnation, holderCount)
          ? requestsPerSecond / holderCount
          : 0;
    };
  }

  /**
   * Returns a rule like {@link #amongFewHolders} that gives each holder a whole number of requests
   * a second. An entry that spaces its requests evenly then sends no more than that number in any
   * second, so that the holders together stay within the limit in every second, also at its begin.
   * A limit below 1 goes to one holder.
   */
  static LimitDivision inWholeRequests() {
    return (ownHost, hosts, targetIncarnation, requestsPerSecond) -> {
      int holderCount = holderCount(hosts, requestsPerSecond);
      double share =
          requestsPerSecond < 1 ? requestsPerSecond : Math.floor(requestsPerSecond / holderCount);
      return isHolder(ownHost, hosts, targetIncarnation, holderCount) ? share : 0;
    };
  }

  private static int holderCount(Set<String> hosts, double requestsPerSecond) {
    return (int) Math.max(1, Math.min(hosts.size(), Math.floor(requestsPerSecond)));
  }

  /** Whether a host is among the first in the order of the hashes, which needs no sorting. */
  private static boolean isHolder(
      String ownHost, Set<String> hosts, String targetIncarnation, int holderCount) {
    Comparator<String> order =
        Comparator.comparingLong((String host) -> rendezvousHash(host, targetIncarnation))
            .thenComparing(Comparator.naturalOrder());
    return hosts.contains(ownHost)
        && hosts.stream().filter(host -> order.compare(host, ownHost) < 0).count() < holderCount;
  }

  private static long rendezvousHash(String host, String targetIncarnation) {
    long hash = 0x9E3779B97F4A7C15L * (31L * host.hashCode() + targetIncarnation.hashCode());
    hash = (hash ^ (hash >>> 32)) * 0xD6E8FEB86659FD93L;
    return hash ^ (hash >>> 32);
  }
}
