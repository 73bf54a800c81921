package dev.ibishub.core.serving;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Chooses the least loaded target for a request. Used on the platform of the users; ibishub's own
 * interface has {@link dev.ibishub.core.Router}. Immutable.
 *
 * <p>The ranks of a group step together, so a pass takes as long as the most loaded rank needs. An
 * even spread of requests shortens the pauses of all streams.
 *
 * @param entries how many entries send to the same targets
 * @param maximumRequests number of requests from which a target counts as full
 * @param othersSendsPerMilli requests that the other entries together send to the service, per
 *     millisecond
 * @param spread how requests are spread over targets that are not full
 */
public record TargetChoice(
    int entries, double maximumRequests, double othersSendsPerMilli, TargetSpread spread) {
  /** Cost of choosing a target in another failure domain, in requests. */
  private static final double OTHER_ZONE_COST = 0.2;

  /**
   * Targets whose cost is less than this above the lowest count as equal, in requests. Reports are
   * up to 100 ms old, and entries that all took the very lowest would choose the same target: in a
   * burst of 112 requests from 7 entries to 16 targets, the fullest target got 11 requests without
   * this tolerance and 8 with it.
   */
  private static final double TIE_TOLERANCE = 1.1;

  /** Creates a choice that takes any target whose cost is near the lowest. */
  public TargetChoice(int entries, double maximumRequests) {
    this(entries, maximumRequests, 0, TargetSpread.nearLowest(TIE_TOLERANCE));
  }

  /**
   * A target that may be chosen.
   *
   * @param id the target's id
   * @param sameZone whether it is in this entry's failure domain
   * @param load its estimated load
   */
  public record Candidate(String id, boolean sameZone, TargetLoad load) {}

  /**
   * Whether none of a service's targets can run a request now: at least one reports that it is
   * closed and none that it is open. When one rank of a group ends, the others report that they are
   * closed, while the ended one reports nothing and can't be reached.
   *
   * @param loads the loads of all targets of the service
   * @param now the current time, milliseconds
   */
  public static boolean areClosed(Collection<TargetLoad> loads, long now) {
    return loads.stream().anyMatch(load -> load.isClosed(now))
        && loads.stream().noneMatch(load -> load.isOpen(now));
  }

  /**
   * Whether a closed group is about to open: all its ranks report, and report that they are closed.
   * The group then opens after about 0.6 s more. While a rank is missing it may take any time; the
   * ranks of an evacuated zone count, too, as the group does not open without them.
   *
   * @param loads the loads of all targets of the service that take requests
   * @param now the current time, milliseconds
   */
  public static boolean areForming(Collection<TargetLoad> loads, long now) {
    return !loads.isEmpty()
        && loads.stream().allMatch(load -> load.hasReport(now) && load.isClosed(now))
        && loads.stream().allMatch(load -> load.hasAllComputingRanks(now));
  }

  /**
   * Returns the time until the first of a service's targets ends the back-off that it requested,
   * milliseconds; empty if any target is not in a back-off.
   *
   * @param loads the loads of all targets of the service
   * @param now the current time, milliseconds
   */
  public static OptionalLong millisUntilBackOffEnds(Collection<TargetLoad> loads, long now) {
    return loads.stream().allMatch(load -> load.isBackingOff(now))
        ? loads.stream().mapToLong(load -> load.backOffUntil() - now).min()
        : OptionalLong.empty();
  }

  /**
   * Chooses the target for a request: a cold one only if every warm one is ruled out.
   *
   * @param candidates the targets of the service, in an order that differs between calls, so that
   *     entries that see the same loads don't all choose the same target
   * @param tried ids of targets to which this request has been sent already
   * @param now the current time, milliseconds
   * @return the target; empty if every target that was not tried is full, closed or in a back-off
   *     that it requested
   */
  public Optional<Candidate> choose(List<Candidate> candidates, Set<String> tried, long now) {
    List<Candidate> untried =
        candidates.stream()
            .filter(candidate -> !tried.contains(candidate.id()))
            .filter(candidate -> !candidate.load().isClosed(now))
            .filter(candidate -> !candidate.load().isBackingOff(now))
            .toList();
    List<Candidate> reachable =
        untried.stream().filter(candidate -> !candidate.load().isSuspended(now)).toList();
    // If all are suspended, the likely cause is this entry's own network link. One of them has to
    // be tried, or the service would still be refused after the link has recovered.
    List<Candidate> usable = reachable.isEmpty() ? untried : reachable;
    List<Candidate> free =
        usable.stream()
            .filter(candidate -> candidate.load().requests(now, entries) < maximumRequests)
            .toList();
    if (free.isEmpty()) {
      return Optional.empty();
    }
    List<Candidate> warm = free.stream().filter(each -> !each.load().isCold(now)).toList();
    List<Candidate> preferred = warm.isEmpty() ? free : warm;
    double[] costs = preferred.stream().mapToDouble(candidate -> cost(candidate, now)).toArray();
    double meanReportAge =
        preferred.stream().mapToLong(each -> each.load().reportAgeMillis(now)).average().orElse(0);
    return Optional.of(preferred.get(spread.pick(costs, othersSendsPerMilli * meanReportAge)));
  }

  private double cost(Candidate candidate, long now) {
    return candidate.load().requests(now, entries)
        + candidate.load().penalty(now)
        + (candidate.sameZone() ? 0 : OTHER_ZONE_COST);
  }
}
