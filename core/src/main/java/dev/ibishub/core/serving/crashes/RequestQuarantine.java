package dev.ibishub.core.serving.crashes;

import dev.ibishub.core.serving.crashes.CrashFindings.Clearing;
import dev.ibishub.core.serving.crashes.CrashFindings.Probe;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
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
 * quarantine.onBroken(run);                         // its connection broke
 * quarantine.onEnded(run.targetIncarnation(), now); // the target turns out to have crashed
 * quarantine.onAnswerBegun(service, parts, now);    // clears the parts that both have in common
 * quarantine.permission(request, false, now);       // after more crashes: QUARANTINED
 * }</pre>
 */
public final class RequestQuarantine {
  /** Time from a quarantine to the first trial whether it is still needed, milliseconds. */
  static final long FIRST_TRIAL_MILLIS = 300_000;

  /** How many times as long as before each further trial is put off. */
  private static final long TRIAL_GROWTH_FACTOR = 10;

  /**
   * How long one request is given to be answered while others with the same suspected part are held
   * back, milliseconds.
   */
  static final long PROBE_MILLIS = 2_000;

  /**
   * Time from a report of a crash to the decision on parts, and between two decisions,
   * milliseconds. Each entry reports what it had at the target, and the run of the guilty request
   * may be in the last report.
   */
  static final long DECISION_DELAY_MILLIS = 100;

  /** Maximum number of quarantines, not below that of suspected traits; the oldest are evicted. */
  static final int MAXIMUM_QUARANTINES = CrashEvidence.MAXIMUM_KEPT;

  private static final long NOT_JUDGED = -1;

  private final UnconfirmedRuns unconfirmed = new UnconfirmedRuns();
  private final CrashEvidence evidence = new CrashEvidence();
  private final Map<Set<RequestTrait>, Quarantine> quarantines =
      new BoundedMap<>(MAXIMUM_QUARANTINES);

  /** The crashed incarnations that quarantines explain; empty if they are to be worked out anew. */
  private Optional<Set<String>> explained = Optional.empty();

  /** The digest of the present suspicions; empty if it is to be worked out anew. */
  private Optional<EvidenceDigest> digest = Optional.empty();

  /** When parts are to be judged by new evidence; {@link Long#MAX_VALUE} if there is none. */
  private long decisionDueAt = Long.MAX_VALUE;

  /**
   * The number of answers when the present evidence was judged; the same number changes nothing.
   */
  private long judgedAnswers = NOT_JUDGED;

  private final Map<RequestTrait, Long> probedUntil = new BoundedMap<>(CrashEvidence.MAXIMUM_KEPT);

  /**
   * Records a run whose connection broke or that was abandoned without an answer.
   *
   * @return what to tell the other entries, if its target is known to have crashed
   */
  public synchronized CrashFindings onBroken(CrashedRun run) {
    return addAll(unconfirmed.onBroken(run));
  }

  /**
   * Records that a target turned out to have ended without notice, at an unknown time.
   *
   * @param targetIncarnation the target incarnation that ended
   * @return what to tell the other entries
   */
  public synchronized CrashFindings onEnded(String targetIncarnation, long now) {
    return addAll(unconfirmed.onEnded(targetIncarnation, now));
  }

  /**
   * Records that a target crashed.
   *
   * @param targetIncarnation the target incarnation that ended
   * @param at when it ended
   * @return what to tell the other entries
   */
  public synchronized CrashFindings onCrashed(String targetIncarnation, long at) {
    return addAll(unconfirmed.onCrashed(targetIncarnation, at));
  }

  private CrashFindings addAll(Collection<CrashedRun> runs) {
    List<CrashedRun> added = runs.stream().flatMap(run -> evidence.add(run).stream()).toList();
    onChange();
    added.stream()
        .mapToLong(CrashedRun::brokenAt)
        .max()
        .ifPresent(brokenAt -> decisionDueAt = brokenAt + DECISION_DELAY_MILLIS);
    return CrashFindings.of(added, List.of(), decideOnRequests(added));
  }

  /**
   * Returns what this entry knows to be different from another entry's report: traits that were
   * answered since. To be told to that entry alone, as it comes again with each such report.
   */
  public synchronized CrashFindings contradictions(CrashFindings report) {
    List<Clearing> cleared =
        Stream.concat(
                report.runs().stream().flatMap(run -> answeredParts(run.request(), run.sentAt())),
                report.quarantines().stream()
                    .flatMap(each -> answered(each.traits(), each.firstSentAt())))
            .distinct()
            .toList();
    return CrashFindings.of(List.of(), cleared, List.of());
  }

  /**
   * Merges what another entry found.
   *
   * @return what changed by it: what of it was news, so that other entries may not have it yet, and
   *     what follows from it. A report that changes nothing must not be told on, or it would go
   *     round for ever.
   */
  public synchronized CrashFindings onReport(CrashFindings report) {
    List<Clearing> cleared =
        report.cleared().stream().filter(each -> clear(each.trait(), each.at())).toList();
    CrashFindings found = addAll(report.runs());
    List<CrashedRun> ownRuns =
        crashTimes(report.runs()).entrySet().stream()
            .flatMap(crash -> unconfirmed.onReported(crash.getKey(), crash.getValue()).stream())
            .toList();
    CrashFindings own = addAll(ownRuns);
    List<Quarantine> merged =
        report.quarantines().stream().flatMap(each -> merge(each).stream()).toList();
    List<Probe> probes = report.probes().stream().filter(this::isNews).toList();
    probes.forEach(probe -> probedUntil.put(probe.trait(), probe.until()));
    return new CrashFindings(
        concat(found.runs(), own.runs()),
        cleared,
        probes,
        concat(concat(found.quarantines(), own.quarantines()), merged));
  }

  /** Returns when each target crashed, by the first run that broke off there. */
  private static Map<String, Long> crashTimes(List<CrashedRun> runs) {
    return runs.stream()
        .collect(
            Collectors.toMap(
                CrashedRun::targetIncarnation,
                CrashedRun::brokenAt,
                (first, other) -> first,
                LinkedHashMap::new));
  }

  /** Whether a probe is not known yet. Its end is dated differently by each entry. */
  private boolean isNews(Probe probe) {
    return probe.until() - probedUntil.getOrDefault(probe.trait(), 0L) > PROBE_MILLIS / 2;
  }

  private Stream<Clearing> answeredParts(RequestTraits request, long since) {
    return answered(request.all(), since);
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
    put(merged);
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
    return CrashFindings.of(List.of(), cleared, List.of());
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

  /** Ends the suspicion of a trait at all; returns whether there was any. */
  private boolean clear(RequestTrait trait, long at) {
    boolean wasSuspected = evidence.clear(trait, at);
    if (wasSuspected) {
      onChange();
    }
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
    onChange();
    Set<RequestTrait> remaining = new HashSet<>(quarantine.traits());
    remaining.remove(trait);
    if (!remaining.isEmpty()) {
      put(quarantine.withTraits(remaining));
    }
  }

  private void onChange() {
    explained = Optional.empty();
    digest = Optional.empty();
    judgedAnswers = NOT_JUDGED;
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
    tried.forEach(this::put);
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
    Set<RequestTrait> traits = request.all();
    return quarantines.values().stream().filter(each -> each.applies(request.workspace(), traits));
  }

  /**
   * Returns the parts of a request that may crash targets: those that ran at a crashed target which
   * no quarantine explains, and those that are quarantined together with parts that it lacks.
   */
  private Stream<RequestTrait> suspectedPartsOf(RequestTraits request) {
    if (!isWatching()) {
      return Stream.empty();
    }
    return request.parts().stream()
        .filter(
            part ->
                isInQuarantine(part) || evidence.runs(part).stream().anyMatch(this::isUnexplained));
  }

  private boolean isInQuarantine(RequestTrait trait) {
    return quarantines.keySet().stream().anyMatch(traits -> traits.contains(trait));
  }

  /** Returns the crashed incarnations at which requests ran that are quarantined for parts. */
  private Set<String> explainedIncarnations() {
    if (explained.isEmpty()) {
      explained =
          Optional.of(
              quarantines.keySet().stream()
                  .flatMap(evidence::incarnationsOfRunsWith)
                  .collect(Collectors.toUnmodifiableSet()));
    }
    return explained.get();
  }

  private boolean isUnexplained(CrashedRun run) {
    return !explainedIncarnations().contains(run.targetIncarnation());
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

  /** Returns a digest of all suspicions, to find out what another entry doesn't know. */
  public synchronized EvidenceDigest digest() {
    if (digest.isEmpty()) {
      digest = Optional.of(EvidenceDigest.of(evidence, quarantines.values()));
    }
    return digest.get();
  }

  /** Returns the suspicions in some buckets of the digest, without parts that were answered. */
  public synchronized CrashFindings findings(Set<Integer> buckets) {
    return CrashFindings.of(
        evidence.runsOfTraitsThat(trait -> buckets.contains(EvidenceDigest.bucket(trait))).stream()
            .map(evidence::withoutAnswered)
            .toList(),
        List.of(),
        quarantines.values().stream()
            .filter(each -> buckets.contains(EvidenceDigest.bucket(each)))
            .toList());
  }

  /** Returns all suspicions. */
  public synchronized CrashFindings all() {
    return findings(EvidenceDigest.EMPTY.differing(digest()));
  }

  /** Quarantines whole requests, and extends quarantines to further workspaces. */
  private List<Quarantine> decideOnRequests(Collection<CrashedRun> added) {
    List<Quarantine> decided = new ArrayList<>(widen(added));
    added.stream()
        .map(run -> RequestTrait.ofRequest(run.request().identity()))
        .distinct()
        .filter(
            request ->
                evidence.successiveCrashes(request) >= CrashEvidence.REQUEST_CRASH_COUNT
                    && !isInQuarantine(request))
        .forEach(request -> decided.add(quarantine(Set.of(request), evidence.runs(request))));
    return decided;
  }

  /**
   * Judges the parts by the evidence, if there is any that has not been judged, and adds one
   * quarantine at most. To be called before {@link #permission}.
   *
   * @return what to tell the other entries
   */
  public synchronized CrashFindings decide(long now) {
    if (now < decisionDueAt || judgedAnswers == evidence.totalAnswers()) {
      return CrashFindings.NONE;
    }
    expire(now);
    // A quarantine explains crashes, which then no longer count against other parts. The next one
    // follows in a step of its own.
    Optional<Quarantine> decided =
        new PartBlame(evidence, this::isUnexplained)
            .next()
            .filter(guilty -> !quarantines.containsKey(guilty))
            .map(guilty -> quarantine(guilty, evidence.runsWith(guilty)));
    if (decided.isPresent()) {
      List<Clearing> lifted = liftExplainedBy(decided.get(), now);
      return CrashFindings.of(List.of(), lifted, List.of(decided.get()));
    }
    judgedAnswers = evidence.totalAnswers();
    boolean mayAnswersDecide = evidence.mayAnswersDecide(this::isUnexplained);
    decisionDueAt = mayAnswersDecide ? now + DECISION_DELAY_MILLIS : Long.MAX_VALUE;
    return CrashFindings.NONE;
  }

  /** Forgets old evidence; to be called now and then while there is no new one. */
  public synchronized void expire(long now) {
    evidence.expire(now);
    onChange();
  }

  /** Lifts quarantines that rest only on crashes which a new quarantine explains, and more. */
  private List<Clearing> liftExplainedBy(Quarantine quarantine, long now) {
    Set<String> explained =
        evidence
            .incarnationsOfRunsWith(quarantine.traits())
            .collect(Collectors.toUnmodifiableSet());
    List<Clearing> lifted =
        quarantines.values().stream()
            .filter(other -> !other.equals(quarantine))
            .flatMap(other -> other.traits().stream())
            .filter(RequestTrait::isPart)
            .filter(part -> isExplained(part, explained))
            .map(part -> new Clearing(part, now))
            .toList();
    lifted.forEach(each -> clear(each.trait(), now));
    return lifted;
  }

  private boolean isExplained(RequestTrait part, Set<String> incarnations) {
    Set<String> own =
        evidence.incarnationsOfRunsWith(Set.of(part)).collect(Collectors.toUnmodifiableSet());
    return !own.isEmpty() && own.size() < incarnations.size() && incarnations.containsAll(own);
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
    put(decided);
    return decided;
  }

  private void put(Quarantine quarantine) {
    quarantines.put(quarantine.traits(), quarantine);
    onChange();
  }

  /** Extends quarantines to the workspaces whose requests crashed further targets. */
  private List<Quarantine> widen(Collection<CrashedRun> added) {
    return added.stream()
        .flatMap(
            run ->
                quarantinesWithin(run.request().all()).stream()
                    .filter(each -> !each.workspaces().contains(run.request().workspace()))
                    .map(each -> each.merge(withWorkspaceOf(each, run))))
        .peek(this::put)
        .toList();
  }

  private List<Quarantine> quarantinesWithin(Set<RequestTrait> traits) {
    return quarantines.values().stream().filter(each -> traits.containsAll(each.traits())).toList();
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
