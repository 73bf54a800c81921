package dev.ibishub.core.serving.crashes;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Chooses the parts of prompts that explain crashes best. Not thread-safe.
 *
 * @param evidence what ran at crashed targets
 * @param counts tells which of those runs no quarantine explains yet
 */
record PartBlame(CrashEvidence evidence, Predicate<CrashedRun> counts) {
  /**
   * A part that may be guilty.
   *
   * @param crashes how many crashes it may explain
   */
  private record Candidate(RequestTrait part, long crashes) {}

  /** Returns the parts to quarantine next; empty if the crashes don't suffice for any. */
  Optional<Set<RequestTrait>> next() {
    return guiltiestPart().map(this::withUndecided);
  }

  /**
   * Returns the part that explains most crashes of those that may be guilty. A part is left out if
   * all requests that crashed targets under another such part have it, too, but not the other way
   * round: the crashes under the narrower one suffice to explain it.
   */
  private Optional<RequestTrait> guiltiestPart() {
    List<Candidate> candidates =
        evidence
            .suspectedParts()
            .filter(part -> evidence.isGuilty(part, counts))
            .map(part -> new Candidate(part, evidence.crashes(part, counts)))
            .toList();
    // Few candidates are compared with all others, as the first that is not left out is the one.
    return candidates.stream()
        .sorted(
            Comparator.comparingLong(Candidate::crashes)
                .reversed()
                .thenComparing(each -> evidence.answeredAt(each.part())))
        .filter(
            each -> candidates.stream().noneMatch(other -> isNarrower(other.part(), each.part())))
        .map(Candidate::part)
        .findFirst();
  }

  private boolean isNarrower(RequestTrait narrow, RequestTrait wide) {
    List<CrashedRun> runs = evidence.runs(narrow);
    return runs.size() < evidence.runs(wide).size()
        && runs.stream().allMatch(run -> run.request().hasPart(wide));
  }

  /**
   * Returns a part with those that the crashes don't tell from it. Requests that had all of them
   * ran at all crashed targets but one at most that the part is blamed for.
   */
  private Set<RequestTrait> withUndecided(RequestTrait part) {
    long crashes = evidence.crashes(part, any -> true);
    Set<RequestTrait> undecided = RequestTraits.inOrder(Stream.of(part));
    List<RequestTrait> others =
        Stream.concat(commonParts(evidence.runs(part)), companions(part))
            .filter(other -> !evidence.runs(other).isEmpty())
            .toList();
    for (RequestTrait other : others) {
      Set<RequestTrait> extended =
          RequestTraits.inOrder(Stream.concat(undecided.stream(), Stream.of(other)));
      if (evidence.incarnationsOfRunsWith(extended).distinct().count() >= crashes - 1) {
        undecided = extended;
      }
    }
    return undecided;
  }

  /** Returns the parts that all of some requests have. */
  private static Stream<RequestTrait> commonParts(List<CrashedRun> runs) {
    return runs.get(0).request().parts().stream()
        .filter(part -> runs.stream().allMatch(run -> run.request().hasPart(part)));
  }

  /**
   * Returns the parts that came only together with another one, in all but one of its crashes. One
   * of them may be the cause, if that one crash had another.
   */
  private Stream<RequestTrait> companions(RequestTrait part) {
    long crashes = evidence.crashes(part, any -> true);
    return evidence
        .suspectedParts()
        .filter(other -> isNarrower(other, part))
        .filter(other -> evidence.crashes(other, any -> true) >= crashes - 1);
  }
}
