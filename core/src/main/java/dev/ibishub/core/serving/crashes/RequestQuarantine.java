package dev.ibishub.core.serving.crashes;

import dev.ibishub.core.serving.crashes.CrashFindings.Clearing;
import dev.ibishub.core.serving.crashes.CrashFindings.Probe;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Identifies what requests that crash their targets have in common, from which requests ran on the
 * targets that crashed, and quarantines such requests. Thread-safe by one lock.
 *
 * <p>Two causes are told apart. A <em>whole request</em> crashes each target that runs it, and
 * callers and retries send it again: two successive crashes quarantine it, and a complete answer
 * clears it. A <em>part of the prompt</em> crashes each target that begins to answer, whatever else
 * the request holds, and no two such requests are alike. The suspects are all parts of all requests
 * that ran unanswered at a crashed target. Sound requests share their caller and their other parts
 * with the guilty ones, so an answer that begins clears all parts of its request. What is left is
 * the part that ran at one crashed target after the other and is never answered.
 *
 * <p>Parts that always came together are quarantined together: only a request that has them all is
 * kept back. One that has some of them is sent, and its answer shows that those are sound.
 *
 * <pre>{@code
 * quarantine.onBroken(run);                      // its connection broke
 * quarantine.onCrashed(run.targetIncarnation()); // the target turns out to have crashed
 * quarantine.onAnswerBegun(other, now);          // clears the parts that both have in common
 * quarantine.permission(request, false, now);    // after more crashes: QUARANTINED
 * }</pre>
 */
public final class RequestQuarantine {
  /** Time from a quarantine to the first trial whether it is still needed, milliseconds. */
  static final long FIRST_TRIAL_MILLIS = 300_000;

  /** How many times as long as before each further trial is put off. */
  private static final long TRIAL_GROWTH_FACTOR = 10;

  /**
   * How long after a broken run a crash of its target can still be reported, milliseconds. A target
   * that restarts announces itself within some seconds.
   */
  static final long UNCONFIRMED_MILLIS = 15_000;

  /**
   * How long before the crash of its target a run may have broken off to count as in flight there,
   * milliseconds.
   */
  static final long COINCIDENCE_MILLIS = 500;

  /**
   * How long one request is given to be answered while others with the same suspected part are held
   * back, milliseconds.
   */
  static final long PROBE_MILLIS = 1_000;

  /** Maximum number of broken runs whose targets are not known to have crashed. */
  static final int MAXIMUM_UNCONFIRMED = 2_048;

  /** Maximum number of quarantines, not below that of suspected traits; the oldest are evicted. */
  static final int MAXIMUM_QUARANTINES = CrashEvidence.MAXIMUM_KEPT;

  /** Broken runs whose targets are not known to have crashed, in order of arrival. */
  private final Deque<CrashedRun> unconfirmed = new ArrayDeque<>();

  /** When incarnations crashed, as far as that is known. */
  private final Map<String, Long> crashedAt = new BoundedMap<>(CrashEvidence.MAXIMUM_KEPT);

  private final CrashEvidence evidence = new CrashEvidence();
  private final Map<Set<RequestTrait>, Quarantine> quarantines =
      new BoundedMap<>(MAXIMUM_QUARANTINES);
  private final Map<RequestTrait, Long> probedUntil = new BoundedMap<>(CrashEvidence.MAXIMUM_KEPT);

  /**
   * Records a run whose connection broke or that was abandoned without an answer.
   *
   * @return what to tell the other entries, if its target is known to have crashed
   */
  public synchronized CrashFindings onBroken(CrashedRun run) {
    if (crashedAt.containsKey(run.targetIncarnation())) {
      return isInFlightAtCrash(run) ? addAll(List.of(run)) : CrashFindings.NONE;
    }
    unconfirmed.removeIf(other -> run.brokenAt() - other.brokenAt() > UNCONFIRMED_MILLIS);
    unconfirmed.addLast(run);
    if (unconfirmed.size() > MAXIMUM_UNCONFIRMED) {
      unconfirmed.removeFirst();
    }
    return CrashFindings.NONE;
  }

  /**
   * Records that a target crashed at an unknown time.
   *
   * @param targetIncarnation the target incarnation that ended
   * @return what to tell the other entries
   */
  public synchronized CrashFindings onCrashed(String targetIncarnation) {
    return onCrashed(targetIncarnation, Long.MIN_VALUE);
  }

  /**
   * Records that a target crashed.
   *
   * @param targetIncarnation the target incarnation that ended
   * @param at when it ended
   * @return what to tell the other entries
   */
  public synchronized CrashFindings onCrashed(String targetIncarnation, long at) {
    crashedAt.putIfAbsent(targetIncarnation, at);
    return addAll(takeUnconfirmed(targetIncarnation));
  }

  /** Removes the unconfirmed runs of an incarnation, and returns those that its crash ended. */
  private List<CrashedRun> takeUnconfirmed(String targetIncarnation) {
    List<CrashedRun> ranThere =
        unconfirmed.stream()
            .filter(run -> run.targetIncarnation().equals(targetIncarnation))
            .toList();
    unconfirmed.removeAll(ranThere);
    return ranThere.stream().filter(this::isInFlightAtCrash).toList();
  }

  private boolean isInFlightAtCrash(CrashedRun run) {
    long crash = crashedAt.get(run.targetIncarnation());
    return crash == Long.MIN_VALUE || run.brokenAt() >= crash - COINCIDENCE_MILLIS;
  }

  private CrashFindings addAll(Collection<CrashedRun> runs) {
    List<CrashedRun> added = runs.stream().flatMap(run -> evidence.add(run).stream()).toList();
    return CrashFindings.of(added, List.of(), decide(added));
  }

  /**
   * Merges what another entry found.
   *
   * @return what of it was news, so that other entries may not have it yet, and what this entry
   *     knows that contradicts it or follows from it
   */
  public synchronized CrashFindings onReport(CrashFindings report) {
    List<Clearing> cleared =
        report.cleared().stream().filter(each -> clear(each.trait(), each.at())).toList();
    List<Clearing> contradicted =
        Stream.concat(
                report.runs().stream().flatMap(run -> answeredParts(run.request(), run.sentAt())),
                report.quarantines().stream()
                    .flatMap(each -> answered(each.traits(), each.firstSentAt())))
            .distinct()
            .toList();
    CrashFindings found = addAll(report.runs());
    List<CrashedRun> ownRuns =
        report.runs().stream()
            .map(CrashedRun::targetIncarnation)
            .distinct()
            .flatMap(incarnation -> takeUnconfirmedAtReportedCrash(incarnation, report))
            .toList();
    CrashFindings own = addAll(ownRuns);
    List<Quarantine> merged =
        report.quarantines().stream().flatMap(each -> merge(each).stream()).toList();
    List<Probe> probes = report.probes().stream().filter(this::isNews).toList();
    probes.forEach(probe -> probedUntil.put(probe.trait(), probe.until()));
    return new CrashFindings(
        concat(found.runs(), own.runs()),
        concat(cleared, contradicted),
        probes,
        concat(concat(found.quarantines(), own.quarantines()), merged));
  }

  /** Whether a probe is not known yet. Its end is dated differently by each entry. */
  private boolean isNews(Probe probe) {
    return probe.until() - probedUntil.getOrDefault(probe.trait(), 0L) > PROBE_MILLIS / 2;
  }

  private Stream<CrashedRun> takeUnconfirmedAtReportedCrash(
      String incarnation, CrashFindings report) {
    long at =
        report.runs().stream()
            .filter(run -> run.targetIncarnation().equals(incarnation))
            .mapToLong(CrashedRun::brokenAt)
            .max()
            .orElse(Long.MIN_VALUE);
    crashedAt.putIfAbsent(incarnation, at);
    return takeUnconfirmed(incarnation).stream();
  }

  private Stream<Clearing> answeredParts(RequestTraits request, long since) {
    return answered(request.parts(), since);
  }

  private Stream<Clearing> answered(Set<RequestTrait> traits, long since) {
    return traits.stream()
        .filter(trait -> evidence.isAnsweredSince(trait, since))
        .map(trait -> new Clearing(trait, evidence.answeredAt(trait)));
  }

  private List<Quarantine> merge(Quarantine reported) {
    Set<RequestTrait> unanswered =
        reported.traits().stream()
            .filter(trait -> !evidence.isAnsweredSince(trait, reported.firstSentAt()))
            .collect(Collectors.toUnmodifiableSet());
    if (unanswered.isEmpty()) {
      return List.of();
    }
    Quarantine known = quarantines.get(unanswered);
    Quarantine merged = reported.withTraits(unanswered);
    merged = known == null ? merged : known.merge(merged);
    if (known != null
        && known.trials() == merged.trials()
        && known.workspaces().equals(merged.workspaces())) {
      return List.of();
    }
    quarantines.put(unanswered, merged);
    return List.of(merged);
  }

  /**
   * Takes in that a target has begun to answer a request: none of its parts crashes targets.
   *
   * @param service the service of the target
   * @param parts the parts of the prompt that other requests may share
   * @return what to tell the other entries
   */
  public synchronized CrashFindings onAnswerBegun(
      String service, Set<RequestTrait> parts, long now) {
    evidence.countAnswer(service);
    List<Clearing> cleared =
        parts.stream()
            .filter(part -> clear(part, now))
            .map(part -> new Clearing(part, now))
            .toList();
    return evidence.isEmpty() ? CrashFindings.of(List.of(), cleared, List.of()) : decided(cleared);
  }

  private CrashFindings decided(List<Clearing> cleared) {
    return CrashFindings.of(List.of(), cleared, decide(List.of()));
  }

  /**
   * Takes in that a target has answered a request in full.
   *
   * @return what to tell the other entries
   */
  public synchronized CrashFindings onCompleted(RequestIdentity request, long now) {
    RequestTrait trait = RequestTrait.ofRequest(request);
    return clear(trait, now)
        ? CrashFindings.of(List.of(), List.of(new Clearing(trait, now)), List.of())
        : CrashFindings.NONE;
  }

  /**
   * Lifts the quarantines that a trait is part of, and ends the suspicion of it.
   *
   * @return what to tell the other entries
   */
  public synchronized CrashFindings lift(RequestTrait trait, long now) {
    return clear(trait, now)
        ? CrashFindings.of(List.of(), List.of(new Clearing(trait, now)), List.of())
        : CrashFindings.NONE;
  }

  /** Ends the suspicion of a trait at all; returns whether there was any. */
  private boolean clear(RequestTrait trait, long at) {
    boolean wasSuspected = evidence.clear(trait, at);
    List<Quarantine> affected =
        quarantines.values().stream()
            .filter(each -> each.traits().contains(trait) && each.firstSentAt() <= at)
            .toList();
    affected.forEach(each -> removeFrom(each, trait));
    if (wasSuspected || !affected.isEmpty()) {
      probedUntil.remove(trait);
    }
    return wasSuspected || !affected.isEmpty();
  }

  private void removeFrom(Quarantine quarantine, RequestTrait trait) {
    quarantines.remove(quarantine.traits());
    Set<RequestTrait> remaining = new HashSet<>(quarantine.traits());
    remaining.remove(trait);
    if (!remaining.isEmpty()) {
      quarantines.put(Set.copyOf(remaining), quarantine.withTraits(remaining));
    }
  }

  /** Whether any request may be held back, so that its traits are needed. */
  public synchronized boolean isWatching() {
    return !evidence.isEmpty() || !quarantines.isEmpty();
  }

  /**
   * Decides whether a request that has not been sent yet may be sent.
   *
   * @param mayTry whether this entry, of all entries, makes the trials whether a quarantine is
   *     still needed
   */
  public synchronized SendPermission permission(RequestTraits request, boolean mayTry, long now) {
    boolean isQuarantined =
        quarantinesOf(request).anyMatch(each -> !mayTry || now < each.nextTrialAt());
    if (isQuarantined) {
      return SendPermission.QUARANTINED;
    }
    boolean isProbed =
        suspectedPartsOf(request)
            .anyMatch(part -> probedUntil.getOrDefault(part, Long.MIN_VALUE) > now);
    return isProbed ? SendPermission.HELD : SendPermission.ALLOWED;
  }

  /**
   * Decides whether a request that was sent before may be sent once more, as a retry, as a hedged
   * request or to resume its stream. As long as one of its parts is suspected, one target is
   * enough.
   */
  public synchronized boolean mayRepeat(RequestTraits request) {
    return quarantinesOf(request).findAny().isEmpty()
        && suspectedPartsOf(request).findAny().isEmpty();
  }

  /**
   * Records that a request is sent.
   *
   * @return what to tell the other entries
   */
  public synchronized CrashFindings onSent(RequestTraits request, long now) {
    List<Quarantine> tried = quarantinesOf(request).map(RequestQuarantine::afterTrial).toList();
    tried.forEach(each -> quarantines.put(each.traits(), each));
    List<Probe> probes =
        suspectedPartsOf(request).map(part -> new Probe(part, now + PROBE_MILLIS)).toList();
    probes.forEach(probe -> probedUntil.put(probe.trait(), probe.until()));
    return new CrashFindings(List.of(), List.of(), probes, tried);
  }

  private static Quarantine afterTrial(Quarantine quarantine) {
    long delay = FIRST_TRIAL_MILLIS;
    for (int trial = 0; trial <= quarantine.trials(); trial++) {
      delay *= TRIAL_GROWTH_FACTOR;
    }
    return quarantine.afterTrial(quarantine.nextTrialAt() + delay);
  }

  private Stream<Quarantine> quarantinesOf(RequestTraits request) {
    return quarantines.values().stream().filter(each -> each.applies(request));
  }

  /**
   * Returns the parts of a request that may crash targets: those that ran at a crashed target which
   * no quarantine explains, and those that are quarantined together with parts that it lacks.
   */
  private Stream<RequestTrait> suspectedPartsOf(RequestTraits request) {
    if (!isWatching()) {
      return Stream.empty();
    }
    Set<String> explained = explainedIncarnations();
    return request.parts().stream()
        .filter(part -> isQuarantinedPart(part) || hasUnexplainedRun(part, explained));
  }

  private boolean hasUnexplainedRun(RequestTrait part, Set<String> explained) {
    return evidence.runs(part).stream()
        .anyMatch(run -> !explained.contains(run.targetIncarnation()));
  }

  private boolean isQuarantinedPart(RequestTrait trait) {
    return quarantines.keySet().stream().anyMatch(traits -> traits.contains(trait));
  }

  /** Returns the crashed incarnations at which requests with a quarantined part ran. */
  private Set<String> explainedIncarnations() {
    return evidence.incarnations(
        quarantines.keySet().stream().flatMap(Set::stream).filter(RequestTrait::isPart));
  }

  /** Returns the number of successive crashes that a whole request is suspected of. */
  public synchronized int crashes(RequestIdentity request) {
    return evidence.successiveCrashes(RequestTrait.ofRequest(request));
  }

  /** Returns the quarantines. */
  public synchronized List<Quarantine> quarantines() {
    return List.copyOf(quarantines.values());
  }

  /** Returns the runs at crashed targets whose requests had a trait and were not answered since. */
  public synchronized List<CrashedRun> runs(RequestTrait trait) {
    return List.copyOf(evidence.runs(trait));
  }

  /** Returns all suspicions, to send to an entry that has just been linked. */
  public synchronized CrashFindings all() {
    return CrashFindings.of(evidence.all(), List.of(), quarantines());
  }

  private List<Quarantine> decide(Collection<CrashedRun> added) {
    List<Quarantine> decided = new ArrayList<>();
    added.stream()
        .map(run -> RequestTrait.ofRequest(run.request().identity()))
        .distinct()
        .filter(
            request ->
                evidence.successiveCrashes(request) >= CrashEvidence.REQUEST_CRASH_COUNT
                    && !isQuarantinedPart(request))
        .forEach(request -> decided.add(quarantine(Set.of(request), evidence.runs(request))));
    // Each quarantine explains crashes, which then no longer count against other parts.
    Optional<RequestTrait> guilty = guiltiestPart();
    while (guilty.isPresent()) {
      decided.add(quarantinePart(guilty.get()));
      guilty = guiltiestPart();
    }
    decided.addAll(widen(added));
    return decided;
  }

  private Optional<RequestTrait> guiltiestPart() {
    Set<String> explained = explainedIncarnations();
    Predicate<CrashedRun> counts = run -> !explained.contains(run.targetIncarnation());
    return evidence
        .suspectedParts()
        .filter(part -> !isQuarantinedPart(part) && evidence.isGuilty(part, counts))
        .max(
            Comparator.<RequestTrait>comparingLong(
                    part ->
                        evidence.runs(part).stream()
                            .filter(counts)
                            .map(CrashedRun::targetIncarnation)
                            .distinct()
                            .count())
                .thenComparing(evidence::answeredAt, Comparator.reverseOrder()));
  }

  /** Quarantines a part, with the parts that all requests with it had as their targets crashed. */
  private Quarantine quarantinePart(RequestTrait part) {
    List<CrashedRun> runs = evidence.runs(part);
    Set<RequestTrait> common =
        runs.stream()
            .map(run -> run.request().parts())
            .reduce(
                runs.get(0).request().parts(),
                (one, other) ->
                    one.stream().filter(other::contains).collect(Collectors.toUnmodifiableSet()));
    Set<RequestTrait> unanswered =
        common.stream()
            .filter(each -> !evidence.runs(each).isEmpty() && !isQuarantinedPart(each))
            .collect(Collectors.toUnmodifiableSet());
    return quarantine(unanswered, runs);
  }

  private Quarantine quarantine(Set<RequestTrait> traits, List<CrashedRun> runs) {
    long lastBrokenAt = runs.get(runs.size() - 1).brokenAt();
    Quarantine decided =
        new Quarantine(
            traits,
            runs.stream()
                .map(run -> run.request().workspace())
                .collect(Collectors.toUnmodifiableSet()),
            runs.stream().mapToLong(CrashedRun::sentAt).min().orElse(lastBrokenAt),
            0,
            lastBrokenAt + FIRST_TRIAL_MILLIS);
    quarantines.put(decided.traits(), decided);
    return decided;
  }

  /** Extends quarantines to the workspaces whose requests crashed further targets. */
  private List<Quarantine> widen(Collection<CrashedRun> added) {
    return added.stream()
        .flatMap(
            run ->
                List.copyOf(quarantines.values()).stream()
                    .filter(each -> run.request().all().containsAll(each.traits()))
                    .filter(each -> !each.workspaces().contains(run.request().workspace()))
                    .map(each -> each.merge(withWorkspaceOf(each, run))))
        .peek(each -> quarantines.put(each.traits(), each))
        .toList();
  }

  private static Quarantine withWorkspaceOf(Quarantine quarantine, CrashedRun run) {
    return new Quarantine(
        quarantine.traits(),
        Set.of(run.request().workspace()),
        quarantine.firstSentAt(),
        quarantine.trials(),
        quarantine.nextTrialAt());
  }

  private static <T> List<T> concat(List<T> one, List<T> other) {
    return Stream.concat(one.stream(), other.stream()).toList();
  }
}
