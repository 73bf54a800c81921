package dev.ibishub.core.serving.crashes;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Which traits were had by requests that ran at crashed targets, and which were answered. Not
 * thread-safe.
 */
final class CrashEvidence {
  /** Successive crashes after which a whole request is quarantined. */
  static final int REQUEST_CRASH_COUNT = 2;

  /**
   * Successive crashes after which a prompt part is quarantined. Requests that share a part run
   * beside many others, and each of a few unanswered ones has parts of its own, so that two crashes
   * in a row are often survived by an innocent part.
   */
  static final int PART_CRASH_COUNT = 3;

  /**
   * Crashes after which a part is quarantined although its runs overlapped, if it ran at three of
   * four targets that crashed meanwhile. Many such requests at once crash several targets before
   * the first crash is known.
   */
  static final int OVERLAPPING_CRASH_COUNT = 4;

  private static final double OVERLAPPING_CRASH_SHARE = 0.75;

  /**
   * Requests without the part that targets must have begun to answer here since a part was first
   * suspected. As long as nothing is answered, that one part is not says nothing about it.
   */
  static final int ANSWERS_OF_OTHERS = 3;

  /** The same where runs overlapped. */
  static final int ANSWERS_OF_OTHERS_IF_OVERLAPPING = 10;

  /** How long crashes count against a whole request, milliseconds. */
  static final long REQUEST_SUSPICION_MILLIS = 120_000;

  /** How long crashes count against a part, milliseconds. */
  static final long PART_SUSPICION_MILLIS = 600_000;

  /**
   * Overlap up to which two runs of a request still count as successive, milliseconds. Runs
   * reported by other entries are dated too late by the transit time of the message.
   */
  static final long REQUEST_OVERLAP_MILLIS = 250;

  /** The same for two runs of requests that share a part, which are not sent one by one. */
  static final long PART_OVERLAP_MILLIS = 50;

  /** Least time between two crashes that count as successive for a part, milliseconds. */
  static final long PART_CRASH_INTERVAL_MILLIS = 100;

  /** Maximum number of suspected traits, and of crashed incarnations; the oldest are evicted. */
  static final int MAXIMUM_KEPT = 2_048;

  /** Maximum number of runs that are kept of one trait; the oldest are evicted. */
  static final int MAXIMUM_RUNS = 64;

  /** Maximum number of traits whose last answer is remembered. */
  static final int MAXIMUM_ANSWERED = 8_192;

  /** Maximum number of pairs of a trait and a run that are remembered after they were cleared. */
  static final int MAXIMUM_SEEN = 16_384;

  private static final int MAXIMUM_SERVICES = 1_024;

  private final Map<RequestTrait, Suspect> suspects = new BoundedMap<>(MAXIMUM_KEPT);
  private final BoundedMap<RequestTrait, Long> answeredAt = new BoundedMap<>(MAXIMUM_ANSWERED);
  private final Map<String, Long> answersByService = new BoundedMap<>(MAXIMUM_SERVICES);

  /**
   * Pairs of a trait and a run that were added before. A report may arrive long after its run was
   * cleared here, dated later by its transit time, and must not bring the suspicion back.
   */
  private final BoundedMap<Sighting, Boolean> seen = new BoundedMap<>(MAXIMUM_SEEN);

  private long totalAnswers;

  private final Map<String, Crash> crashes = new BoundedMap<>(MAXIMUM_KEPT);

  /**
   * A trait of requests that ran at crashed targets.
   *
   * @param runs those runs, by the time at which they broke off
   * @param answersBefore the number of answers of its service before
   */
  private record Suspect(List<CrashedRun> runs, long answersBefore) {}

  /** A trait of one run, whatever the times of the run are. */
  private record Sighting(RequestTrait trait, RequestIdentity request, String targetIncarnation) {}

  private record Crash(String service, long at) {}

  /**
   * Adds a run at a crashed target.
   *
   * @return the run without the parts that were answered since it was sent; empty if all of it was
   *     known
   */
  List<CrashedRun> add(CrashedRun run) {
    CrashedRun unanswered = withoutAnswered(run);
    crashes.putIfAbsent(
        run.targetIncarnation(), new Crash(run.request().service(), run.brokenAt()));
    long added =
        unanswered.request().all().stream().filter(trait -> addTo(trait, unanswered)).count();
    return added > 0 ? List.of(unanswered) : List.of();
  }

  /** Returns a run without the parts that were answered since it was sent. */
  CrashedRun withoutAnswered(CrashedRun run) {
    return new CrashedRun(
        run.request().withPartsThat(part -> !isAnsweredSince(part, run.sentAt())),
        run.targetIncarnation(),
        run.sentAt(),
        run.brokenAt());
  }

  private boolean addTo(RequestTrait trait, CrashedRun run) {
    Sighting sighting = new Sighting(trait, run.request().identity(), run.targetIncarnation());
    if (isAnsweredSince(trait, run.sentAt()) || seen.put(sighting, true) != null) {
      return false;
    }
    Suspect suspect =
        suspects.computeIfAbsent(
            trait, any -> new Suspect(new ArrayList<>(), answers(trait.service())));
    List<CrashedRun> runs = suspect.runs();
    boolean isCounted = !trait.isPart() && successiveCrashes(trait, runs) >= REQUEST_CRASH_COUNT;
    if (!isCounted) {
      runs.removeIf(other -> run.brokenAt() - other.brokenAt() > suspicionMillis(trait));
    }
    runs.add(run);
    runs.sort(Comparator.comparingLong(CrashedRun::brokenAt));
    if (runs.size() > MAXIMUM_RUNS) {
      runs.remove(0);
    }
    return true;
  }

  /** Whether a target began to answer a request with the trait at or after a time. */
  boolean isAnsweredSince(RequestTrait trait, long time) {
    return answeredAt.getOrDefault(trait, Long.MIN_VALUE) >= time;
  }

  /** Returns when a request with the trait was last answered; {@link Long#MIN_VALUE} if unknown. */
  long answeredAt(RequestTrait trait) {
    return answeredAt.getOrDefault(trait, Long.MIN_VALUE);
  }

  /** Takes in that a target began to answer a request of a service. */
  void countAnswer(String service) {
    totalAnswers++;
    answersByService.merge(service, 1L, Long::sum);
  }

  /** Returns how many answers began so far. */
  long totalAnswers() {
    return totalAnswers;
  }

  /**
   * Takes in that a trait is cleared.
   *
   * @return whether this ends a suspicion
   */
  boolean clear(RequestTrait trait, long at) {
    Suspect suspect = suspects.get(trait);
    boolean isRemembered = trait.isPart() || suspect != null;
    if (isRemembered && at > answeredAt(trait)) {
      answeredAt.renew(trait, at);
    }
    if (suspect == null || !suspect.runs().removeIf(run -> run.sentAt() <= at)) {
      return false;
    }
    if (suspect.runs().isEmpty()) {
      suspects.remove(trait);
    }
    return true;
  }

  /** Forgets runs that no longer count. */
  void expire(long now) {
    suspects.forEach(
        (trait, suspect) ->
            suspect.runs().removeIf(run -> now - run.brokenAt() > suspicionMillis(trait)));
    suspects.values().removeIf(suspect -> suspect.runs().isEmpty());
  }

  private static long suspicionMillis(RequestTrait trait) {
    return trait.isPart() ? PART_SUSPICION_MILLIS : REQUEST_SUSPICION_MILLIS;
  }

  boolean isEmpty() {
    return suspects.isEmpty();
  }

  /** Returns the runs at crashed targets whose requests had a trait. */
  List<CrashedRun> runs(RequestTrait trait) {
    Suspect suspect = suspects.get(trait);
    return suspect == null ? List.of() : suspect.runs();
  }

  /** Passes each suspected trait with each of its runs. */
  void forEach(BiConsumer<RequestTrait, CrashedRun> consumer) {
    suspects.forEach(
        (trait, suspect) -> suspect.runs().forEach(run -> consumer.accept(trait, run)));
  }

  /** Returns the runs of the suspected traits that match, each once. */
  List<CrashedRun> runsOfTraitsThat(Predicate<RequestTrait> matches) {
    // A run is mostly the same object under all of its traits, which is cheaper to compare.
    Set<CrashedRun> objects = Collections.newSetFromMap(new IdentityHashMap<>());
    return suspects.entrySet().stream()
        .filter(suspect -> matches.test(suspect.getKey()))
        .flatMap(suspect -> suspect.getValue().runs().stream())
        .filter(objects::add)
        .distinct()
        .toList();
  }

  /**
   * Returns the runs at crashed targets whose requests had all of some parts, by the time at which
   * they broke off. A run counts although some of the parts were answered since, as long as it
   * counts for one of them.
   */
  List<CrashedRun> runsWith(Set<RequestTrait> parts) {
    return parts.stream()
        .flatMap(part -> runs(part).stream())
        .filter(run -> run.request().hasParts(parts))
        .distinct()
        .sorted(Comparator.comparingLong(CrashedRun::brokenAt))
        .toList();
  }

  /** Returns the incarnations at which requests with all of some parts ran as they crashed. */
  Stream<String> incarnationsOfRunsWith(Set<RequestTrait> parts) {
    return runsWith(parts).stream().map(CrashedRun::targetIncarnation);
  }

  /** Returns the suspected parts. */
  Stream<RequestTrait> suspectedParts() {
    return suspects.keySet().stream().filter(RequestTrait::isPart);
  }

  /**
   * Whether the crashes suffice to quarantine a part.
   *
   * @param counts tells which of its runs count
   */
  boolean isGuilty(RequestTrait part, Predicate<CrashedRun> counts) {
    if (runs(part).size() < PART_CRASH_COUNT) {
      return false;
    }
    List<CrashedRun> runs = runs(part).stream().filter(counts).toList();
    if (runs.isEmpty()) {
      return false;
    }
    long answersOfOthers = answers(part.service()) - suspects.get(part).answersBefore();
    boolean isSuccessive = successiveCrashes(part, runs) >= PART_CRASH_COUNT;
    boolean isMostOfOverlapping =
        distinctCrashes(runs) >= OVERLAPPING_CRASH_COUNT
            && distinctCrashes(runs)
                >= OVERLAPPING_CRASH_SHARE * crashesSince(part.service(), runs.get(0).sentAt());
    return (isSuccessive && answersOfOthers >= ANSWERS_OF_OTHERS)
        || (isMostOfOverlapping && answersOfOthers >= ANSWERS_OF_OTHERS_IF_OVERLAPPING);
  }

  /** Whether a part has run at enough crashed targets, so that answers of others may decide. */
  boolean mayAnswersDecide(Predicate<CrashedRun> counts) {
    return suspectedParts()
        .filter(part -> runs(part).size() >= PART_CRASH_COUNT)
        .anyMatch(part -> crashes(part, counts) >= PART_CRASH_COUNT);
  }

  /** Returns how many targets crashed while they ran requests with a trait. */
  long crashes(RequestTrait trait, Predicate<CrashedRun> counts) {
    return distinctCrashes(runs(trait).stream().filter(counts).toList());
  }

  /** Returns how many crashes of targets followed one another under a trait. */
  int successiveCrashes(RequestTrait trait) {
    return successiveCrashes(trait, runs(trait));
  }

  /**
   * Counts the crashes that followed one another. Targets that crash at the same time share one
   * cause: something other than the requests, or one request that ran on several of them. They
   * count as one crash.
   */
  private static int successiveCrashes(RequestTrait trait, List<CrashedRun> runs) {
    long overlap = trait.isPart() ? PART_OVERLAP_MILLIS : REQUEST_OVERLAP_MILLIS;
    long interval = trait.isPart() ? PART_CRASH_INTERVAL_MILLIS : 0;
    int crashes = 0;
    long countedAt = 0;
    for (CrashedRun run : runs) {
      boolean isSuccessive =
          run.sentAt() >= countedAt - overlap && run.brokenAt() >= countedAt + interval;
      if (crashes == 0 || isSuccessive) {
        crashes++;
        countedAt = run.brokenAt();
      }
    }
    return crashes;
  }

  private static long distinctCrashes(List<CrashedRun> runs) {
    return runs.stream().map(CrashedRun::targetIncarnation).distinct().count();
  }

  private long crashesSince(String service, long time) {
    return crashes.values().stream()
        .filter(crash -> crash.service().equals(service) && crash.at() >= time)
        .count();
  }

  private long answers(String service) {
    return answersByService.getOrDefault(service, 0L);
  }
}
