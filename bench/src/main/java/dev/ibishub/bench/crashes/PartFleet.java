package dev.ibishub.bench.crashes;

import dev.ibishub.bench.crashes.PartScenario.Trouble;
import dev.ibishub.bench.model.EventQueue;
import dev.ibishub.core.serving.crashes.CrashFindings;
import dev.ibishub.core.serving.crashes.CrashFindings.Clearing;
import dev.ibishub.core.serving.crashes.CrashFindings.Probe;
import dev.ibishub.core.serving.crashes.CrashedRun;
import dev.ibishub.core.serving.crashes.Quarantine;
import dev.ibishub.core.serving.crashes.RequestTrait;
import dev.ibishub.core.serving.crashes.RequestTraits;
import dev.ibishub.core.serving.crashes.SendPermission;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Simulation of entries, their links and targets in virtual time, with requests that share a part
 * which ends each target. Times are milliseconds.
 */
final class PartFleet {
  /** Number of parts that sound requests have, one each. */
  static final int PARTS = 60;

  /** From how long after the fifth crash at most three guilty requests may reach targets. */
  static final long BOUND_AFTER_MILLIS = 3_000;

  private static final int BOUND_CRASHES = 5;
  private static final String SERVICE = "s";
  private static final int WORKSPACES = 10;
  private static final long GUILTY_FROM = 5_000;
  private static final long SHORTEST_PREPARATION = 100;
  private static final long LONGEST_PREPARATION = 400;
  private static final long ANSWER = 1_500;
  private static final long DOWN = 3_000;
  private static final long FORMATION = 600;
  private static final long STALL = 1_500;
  private static final long PATIENCE = 2_000;
  private static final long CHECK = 100;
  private static final long HELD_CHECK = 60;
  private static final long LONGEST_HELD = 1_000;
  private static final long ANNOUNCEMENT = 400;
  private static final long RETRY = 3;
  private static final long BACKGROUND_PERIOD = 10_000;
  private static final long SHORTEST_TRANSIT = 2;
  private static final long TRANSIT_SPREAD = 5;
  private static final long LATEST_REPORT = 500;
  private static final long CUT_FROM = 6_000;
  private static final long CUT_LENGTH = 5_000;
  private static final long RESTART_PERIOD = 1_700;
  private static final long START = 800;
  private static final int MAXIMUM_RUNS = 2;
  private static final int SLOTS = 12;

  private final PartScenario scenario;
  private final Supplier<PartPolicy> policies;
  private final Random random;
  private final EventQueue clock = new EventQueue();
  private final List<Entry> entries = new ArrayList<>();
  private final List<Target> targets = new ArrayList<>();
  private final List<Long> guiltyArrivals = new ArrayList<>();
  private final List<Long> guiltyCrashes = new ArrayList<>();
  private long groupOpensAt;
  private boolean isCut;
  private long requests;
  private long messages;
  private int soundQuarantined;
  private int soundSuspected;
  private int soundBroken;
  private int soundOffered;
  private int soundBegunAtFirst;
  private int offeredLate;
  private int begunLate;

  /**
   * What a run came to.
   *
   * @param crashes targets that ended under guilty requests
   * @param arrivalsAfterBound guilty requests that reached targets later than allowed, sent by
   *     entries that had neither started nor stood still shortly before
   * @param soundOffered sound requests while the service had room
   * @param soundQuarantined sound requests refused for good
   * @param soundSuspected sound requests told to come back
   * @param soundBroken runs of sound requests that ended with their targets
   * @param begunShare share of the sound requests that began at the first attempt
   * @param begunLateShare the same after the fifth crash and twice the bound's time
   * @param messages messages between entries
   * @param disagreeing entries that know other quarantines than the first entry at the end
   */
  record Outcome(
      int crashes,
      long arrivalsAfterBound,
      int soundOffered,
      int soundQuarantined,
      int soundSuspected,
      int soundBroken,
      double begunShare,
      double begunLateShare,
      long messages,
      long disagreeing) {}

  private final class Entry {
    private final int number;
    private PartPolicy policy = policies.get();
    private boolean isUp = true;
    private long frozenUntil = -BOUND_AFTER_MILLIS;
    private long startedAt = -BOUND_AFTER_MILLIS;
    private int incarnation;

    Entry(int number) {
      this.number = number;
    }

    private boolean isServing() {
      return isUp && now() >= frozenUntil;
    }

    /** Whether it has run without a start or a standstill for as long as the bound demands. */
    private boolean isInTouch() {
      return now() - Math.max(startedAt, frozenUntil) >= BOUND_AFTER_MILLIS;
    }

    private boolean isLinkedTo(Entry other) {
      return isUp && other.isUp && (!isCut || number % 2 == other.number % 2);
    }

    private boolean leads() {
      return entries.stream().filter(this::isLinkedTo).findFirst().stream().allMatch(this::equals);
    }

    private void broadcast(CrashFindings findings) {
      if (!findings.isEmpty()) {
        entries.stream()
            .filter(other -> !other.equals(this) && isLinkedTo(other))
            .forEach(other -> send(other, findings));
      }
    }

    private void send(Entry other, CrashFindings findings) {
      send(other, findings, false);
    }

    /**
     * Sends a message.
     *
     * @param isDirect whether the receiver has to tell the others what of it is news
     */
    private void send(Entry other, CrashFindings findings, boolean isDirect) {
      messages++;
      int of = other.incarnation;
      boolean isLate = scenario.trouble() == Trouble.LATE_REPORTS && random.nextInt(4) == 0;
      long transit = SHORTEST_TRANSIT + random.nextLong(isLate ? LATEST_REPORT : TRANSIT_SPREAD);
      long arrival = Math.max(transit, other.frozenUntil - now());
      after(
          arrival,
          () -> {
            if (other.incarnation == of && other.isUp) {
              CrashFindings received = redated(findings, arrival);
              CrashFindings contradictions = other.policy.contradictions(received);
              if (!contradictions.isEmpty()) {
                other.send(this, contradictions, true);
              }
              CrashFindings news = other.policy.onReport(received);
              other.broadcast(isDirect ? news : withoutReported(news, received));
            }
          });
    }

    private void restart() {
      isUp = false;
      incarnation++;
      after(
          START,
          () -> {
            policy = policies.get();
            isUp = true;
            startedAt = now();
            entries.stream()
                .filter(other -> !other.equals(this) && isLinkedTo(other))
                .findFirst()
                .ifPresent(other -> policy.onReport(other.policy.all()));
          });
    }
  }

  private static final class Target {
    private final int number;
    private int incarnation;
    private long upAt;
    private final List<Run> runs = new ArrayList<>();

    Target(int number) {
      this.number = number;
    }

    private String name() {
      return number + "@" + incarnation;
    }
  }

  /** A caller's request. */
  private static final class Request {
    private final RequestTraits traits;
    private final boolean isGuilty;
    private final Entry entry;
    private final int entryIncarnation;
    private int runs;
    private boolean isOver;

    Request(RequestTraits traits, boolean isGuilty, Entry entry) {
      this.traits = traits;
      this.isGuilty = isGuilty;
      this.entry = entry;
      this.entryIncarnation = entry.incarnation;
    }

    private boolean isAbandoned() {
      return isOver || !entry.isUp || entry.incarnation != entryIncarnation;
    }
  }

  private static final class Run {
    private final Request request;
    private final long sentAt;
    private boolean hasBegun;

    Run(Request request, long sentAt) {
      this.request = request;
      this.sentAt = sentAt;
    }
  }

  PartFleet(PartScenario scenario, Supplier<PartPolicy> policies, long seed) {
    this.scenario = scenario;
    this.policies = policies;
    this.random = new Random(seed);
  }

  Outcome run() {
    IntStream.range(0, scenario.entries()).forEach(number -> entries.add(new Entry(number)));
    IntStream.range(0, scenario.targets()).forEach(number -> targets.add(new Target(number)));
    every(scenario.soundPerSecond(), 0, this::arriveSound);
    every(scenario.guiltyPerSecond(), GUILTY_FROM, this::arriveGuilty);
    if (scenario.crashingShare() > 0) {
      clock.every(BACKGROUND_PERIOD / 1_000.0, this::crashSome);
    }
    startTrouble();
    clock.runUntil(scenario.length() / 1_000.0);
    return outcome();
  }

  private long now() {
    return (long) (clock.seconds() * 1_000);
  }

  private void after(long millis, Runnable action) {
    clock.after(millis / 1_000.0, action);
  }

  /** Repeats an action at exponentially distributed intervals. */
  private void every(double perSecond, long from, Runnable action) {
    if (perSecond > 0) {
      clock.after(
          from / 1_000.0 - Math.log(1 - random.nextDouble()) / perSecond,
          () -> {
            action.run();
            every(perSecond, 0, action);
          });
    }
  }

  private void startTrouble() {
    switch (scenario.trouble()) {
      case CUT -> List.of(CUT_FROM, 3 * CUT_FROM).forEach(at -> after(at, this::cut));
      case RESTARTS -> after(CUT_FROM, () -> restartNext(0));
      case FROZEN -> List.of(CUT_FROM, 3 * CUT_FROM).forEach(at -> after(at, this::freeze));
      case POWER_LOSS -> after(2 * CUT_FROM, () -> entries.forEach(Entry::restart));
      default -> {
        // Nothing happens, or messages are late.
      }
    }
  }

  private void cut() {
    isCut = true;
    after(
        CUT_LENGTH,
        () -> {
          isCut = false;
          entries.forEach(
              entry ->
                  entries.stream()
                      .filter(other -> other.number % 2 != entry.number % 2)
                      .forEach(other -> entry.send(other, entry.policy.all())));
        });
  }

  private void freeze() {
    entries.stream()
        .filter(entry -> entry.number % 2 == 1)
        .forEach(entry -> entry.frozenUntil = now() + CUT_LENGTH);
  }

  private void restartNext(int number) {
    entries.get(number % entries.size()).restart();
    after(RESTART_PERIOD, () -> restartNext(number + 2));
  }

  private Optional<Entry> anyEntry() {
    List<Entry> serving = entries.stream().filter(Entry::isServing).toList();
    return serving.isEmpty()
        ? Optional.empty()
        : Optional.of(serving.get(random.nextInt(serving.size())));
  }

  /** Returns a part that sound requests have; a few parts are common. */
  private String soundPart() {
    double point = random.nextDouble();
    return "sound" + (int) (point * point * PARTS);
  }

  private RequestTraits traits(String workspace, List<String> parts) {
    return new RequestTraits(SERVICE, workspace, PartPolicy.identity(++requests), parts);
  }

  private void arriveSound() {
    String workspace = "w" + random.nextInt(WORKSPACES);
    arrive(traits(workspace, List.of(soundPart())), false);
  }

  private void arriveGuilty() {
    int part = random.nextInt(scenario.guiltyParts());
    String workspace = "w" + random.nextInt(scenario.guiltyWorkspaces());
    // One sound part always comes with it: the same one that sound requests have, too.
    arrive(traits(workspace, List.of("sound" + (PARTS / 4 + part), "guilty" + part)), true);
  }

  private void arrive(RequestTraits traits, boolean isGuilty) {
    anyEntry()
        .ifPresent(
            entry -> {
              Request request = new Request(traits, isGuilty, entry);
              if (!isGuilty && hasRoom()) {
                soundOffered++;
                offeredLate += isLate() ? 1 : 0;
              }
              offer(request, now() + LONGEST_HELD);
            });
  }

  private boolean hasRoom() {
    return !scenario.isGroup() || now() >= groupOpensAt;
  }

  private boolean isLate() {
    return guiltyCrashes.size() >= BOUND_CRASHES
        && now() > guiltyCrashes.get(BOUND_CRASHES - 1) + 2 * BOUND_AFTER_MILLIS;
  }

  private void offer(Request request, long heldUntil) {
    if (request.isAbandoned()) {
      return;
    }
    request.entry.broadcast(request.entry.policy.decide(now()));
    SendPermission permission =
        request.entry.policy.permission(request.traits, request.entry.leads(), now());
    if (permission == SendPermission.ALLOWED) {
      send(request);
    } else if (permission == SendPermission.HELD && now() < heldUntil) {
      after(HELD_CHECK, () -> offer(request, heldUntil));
    } else if (!request.isGuilty) {
      soundQuarantined += permission == SendPermission.QUARANTINED ? 1 : 0;
      soundSuspected += permission == SendPermission.HELD ? 1 : 0;
    }
  }

  private void send(Request request) {
    List<Target> up =
        targets.stream()
            .filter(target -> now() >= target.upAt || scenario.isSilent())
            .filter(target -> target.runs.size() < SLOTS)
            .toList();
    if (up.isEmpty() || !hasRoom()) {
      return;
    }
    Target target = up.get(random.nextInt(up.size()));
    request.runs++;
    request.entry.broadcast(request.entry.policy.onSent(request.traits, now()));
    Run run = new Run(request, now());
    if (request.isGuilty && request.entry.isInTouch()) {
      guiltyArrivals.add(now());
    }
    target.runs.add(run);
    int incarnation = target.incarnation;
    long preparation =
        SHORTEST_PREPARATION + random.nextLong(LONGEST_PREPARATION - SHORTEST_PREPARATION);
    after(preparation, () -> begin(target, incarnation, run));
    after(PATIENCE, () -> abandon(target, run));
  }

  private boolean isRunning(Target target, int incarnation, Run run) {
    return target.incarnation == incarnation
        && now() >= target.upAt
        && target.runs.contains(run)
        && !run.request.isAbandoned();
  }

  private void begin(Target target, int incarnation, Run run) {
    if (!isRunning(target, incarnation, run) || !hasRoom()) {
      return;
    }
    if (run.request.isGuilty) {
      guiltyCrashes.add(now());
      crash(target);
      return;
    }
    run.hasBegun = true;
    if (run.request.runs == 1) {
      soundBegunAtFirst++;
      begunLate += isLate() ? 1 : 0;
    }
    Entry entry = run.request.entry;
    after(
        1,
        () ->
            entry.broadcast(
                entry.policy.onAnswerBegun(SERVICE, run.request.traits.parts(), now())));
    after(
        ANSWER,
        () -> {
          target.runs.remove(run);
          run.request.isOver = true;
        });
  }

  /** Handles a caller that leaves because nothing came. */
  private void abandon(Target target, Run run) {
    if (!run.hasBegun && target.runs.remove(run) && !run.request.isAbandoned()) {
      run.request.isOver = true;
      Entry entry = run.request.entry;
      CrashedRun abandoned = crashedRun(target.name(), run);
      entry.broadcast(entry.policy.onAbandoned(abandoned));
      if (now() < target.upAt) {
        after(CHECK, () -> entry.broadcast(entry.policy.onCrash(List.of(abandoned))));
      }
    }
  }

  private CrashedRun crashedRun(String incarnation, Run run) {
    RequestTraits traits = run.request.traits;
    RequestTraits suspected =
        run.hasBegun
            ? new RequestTraits(traits.service(), traits.workspace(), traits.identity(), List.of())
            : traits;
    return new CrashedRun(suspected, incarnation, run.sentAt, now());
  }

  private void crash(Target target) {
    String ended = target.name();
    target.upAt = now() + DOWN;
    if (scenario.isGroup()) {
      groupOpensAt = Math.max(groupOpensAt, target.upAt + FORMATION);
      after(STALL, () -> targets.forEach(this::cutOff));
    }
    if (!scenario.isSilent()) {
      List<Run> broken = List.copyOf(target.runs);
      target.runs.clear();
      after(1 + random.nextInt(4), () -> onBroken(ended, broken));
    }
    after(DOWN, () -> startAgain(target, ended));
  }

  /** Ends what runs at a rank of a group that stands still, though its process lives on. */
  private void cutOff(Target target) {
    if (now() < groupOpensAt) {
      target.runs.clear();
    }
  }

  private void startAgain(Target target, String ended) {
    target.incarnation++;
    target.runs.clear();
    after(
        ANNOUNCEMENT,
        () ->
            entries.stream()
                .filter(entry -> entry.isUp)
                .forEach(entry -> entry.broadcast(entry.policy.onSuccessor(ended, now()))));
  }

  private void onBroken(String ended, List<Run> broken) {
    entries.stream()
        .filter(Entry::isServing)
        .forEach(
            entry -> {
              List<Run> own =
                  broken.stream()
                      .filter(run -> run.request.entry.equals(entry))
                      .filter(run -> !run.request.isAbandoned())
                      .toList();
              if (!own.isEmpty()) {
                entry.broadcast(
                    entry.policy.onCrash(own.stream().map(run -> crashedRun(ended, run)).toList()));
                own.forEach(this::onRunBroken);
              }
            });
  }

  private void onRunBroken(Run run) {
    Request request = run.request;
    soundBroken += request.isGuilty ? 0 : 1;
    if (request.runs < MAXIMUM_RUNS && request.entry.policy.mayRepeat(request.traits)) {
      after(RETRY, () -> offer(request, now()));
    } else {
      request.isOver = true;
    }
  }

  private void crashSome() {
    targets.stream()
        .filter(target -> now() >= target.upAt)
        .filter(target -> random.nextDouble() < scenario.crashingShare())
        .forEach(this::crash);
  }

  /** Dates findings as their receiver does, which can't know how long they were under way. */
  private static CrashFindings redated(CrashFindings findings, long transit) {
    return new CrashFindings(
        findings.runs().stream()
            .map(
                run ->
                    new CrashedRun(
                        run.request(),
                        run.targetIncarnation(),
                        run.sentAt() + transit,
                        run.brokenAt() + transit))
            .toList(),
        findings.cleared().stream()
            .map(each -> new Clearing(each.trait(), each.at() + transit))
            .toList(),
        findings.probes().stream()
            .map(each -> new Probe(each.trait(), each.until() + transit))
            .toList(),
        findings.quarantines().stream()
            .map(
                each ->
                    new Quarantine(
                        each.traits(),
                        each.workspaces(),
                        each.firstSentAt() + transit,
                        each.trials(),
                        each.nextTrialAt() + transit))
            .toList());
  }

  private static CrashFindings withoutReported(CrashFindings news, CrashFindings reported) {
    Predicate<CrashedRun> isNew = run -> reported.runs().stream().noneMatch(run::isSameRun);
    Set<Clearing> known = new HashSet<>(reported.cleared());
    Set<Quarantine> quarantines = new HashSet<>(reported.quarantines());
    return new CrashFindings(
        news.runs().stream().filter(isNew).toList(),
        news.cleared().stream().filter(each -> !known.contains(each)).toList(),
        List.of(),
        news.quarantines().stream().filter(each -> !quarantines.contains(each)).toList());
  }

  private Outcome outcome() {
    long boundFrom =
        guiltyCrashes.size() < BOUND_CRASHES
            ? Long.MAX_VALUE
            : guiltyCrashes.get(BOUND_CRASHES - 1) + BOUND_AFTER_MILLIS;
    Set<Set<RequestTrait>> first = partSets(entries.get(0));
    return new Outcome(
        guiltyCrashes.size(),
        guiltyArrivals.stream().filter(at -> at > boundFrom).count(),
        soundOffered,
        soundQuarantined,
        soundSuspected,
        soundBroken,
        (double) soundBegunAtFirst / Math.max(1, soundOffered),
        offeredLate == 0 ? 1 : (double) begunLate / offeredLate,
        messages,
        entries.stream().filter(entry -> entry.isUp && !partSets(entry).equals(first)).count());
  }

  private static Set<Set<RequestTrait>> partSets(Entry entry) {
    return entry.policy.quarantined().stream()
        .filter(
            traits ->
                traits.stream().anyMatch(trait -> trait.kind() == RequestTrait.Kind.PROMPT_PART))
        .collect(Collectors.toUnmodifiableSet());
  }
}
