package dev.ibishub.core.serving.crashes;

import java.util.Comparator;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * A decision not to send certain requests to any target. Times are milliseconds of this process's
 * monotonic clock.
 *
 * @param traits the traits that a request must all have to be kept back; several where they always
 *     came together, so that the crashes don't tell which of them is the cause
 * @param workspaces the workspaces whose requests crashed targets. A caller may name any part, so
 *     others' requests are kept back only once those of a second workspace crashed targets, too
 * @param firstSentAt when the first of the requests was sent that the decision rests on
 * @param trials how many trials have been made
 * @param nextTrialAt from when one request may be sent, to find out whether it still crashes its
 *     target
 */
public record Quarantine(
    Set<RequestTrait> traits,
    Set<String> workspaces,
    long firstSentAt,
    int trials,
    long nextTrialAt) {
  private static final Comparator<RequestTrait> BY_ID =
      Comparator.comparing(RequestTrait::kind)
          .thenComparing(RequestTrait::service)
          .thenComparing(RequestTrait::id);

  /** Checks that there is a trait. */
  public Quarantine {
    traits = RequestTraits.inOrder(traits.stream().sorted(BY_ID));
    workspaces = Set.copyOf(workspaces);
    if (traits.isEmpty()) {
      throw new IllegalArgumentException("expected one or more traits");
    }
  }

  /** Whether a request of a workspace with some traits is kept back. */
  boolean applies(String workspace, Set<RequestTrait> of) {
    return appliesToWorkspace(workspace) && of.containsAll(traits);
  }

  private boolean appliesToWorkspace(String workspace) {
    return workspaces.size() > 1 || workspaces.contains(workspace);
  }

  Quarantine withTraits(Set<RequestTrait> remaining) {
    return new Quarantine(remaining, workspaces, firstSentAt, trials, nextTrialAt);
  }

  Quarantine afterTrial(long followingTrialAt) {
    return new Quarantine(traits, workspaces, firstSentAt, trials + 1, followingTrialAt);
  }

  /** Returns what two entries know of the same quarantine. */
  Quarantine merge(Quarantine other) {
    Quarantine latest = other.trials > trials ? other : this;
    Set<String> allWorkspaces =
        Stream.concat(workspaces.stream(), other.workspaces.stream())
            .collect(Collectors.toUnmodifiableSet());
    return new Quarantine(
        traits,
        allWorkspaces,
        Math.min(firstSentAt, other.firstSentAt),
        latest.trials,
        trials == other.trials ? Math.min(nextTrialAt, other.nextTrialAt) : latest.nextTrialAt);
  }
}
