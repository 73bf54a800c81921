package dev.ibishub.bench.routing;

import dev.ibishub.bench.model.EngineParameters;
import dev.ibishub.bench.model.EventQueue;
import dev.ibishub.bench.model.ModelRequest;
import dev.ibishub.bench.model.TargetModel;
import dev.ibishub.bench.model.Workload;
import dev.ibishub.core.TargetStatus;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;

/** Simulation of one scenario under one policy. Not thread-safe. */
final class RouteRun {
  static final double WARM_UP_SECONDS = 10;
  static final double END_SECONDS = 40;
  private static final int TARGETS = 16;
  static final int ENTRIES = 6;
  private static final int ZONES = 3;
  private static final int PROMPT_TOKENS = 600;
  private static final int OUTPUT_TOKENS = 100;
  private static final int PREFIXES_PER_NAME = 300;
  private static final double REPORT_PERIOD_SECONDS = 0.2;
  private static final double CACHE_REPORT_DELAY_SECONDS = 0.5;
  private static final double CACHE_REPORT_LOSS_RATE = 0.2;
  private static final double LINK_FAILURE_DELAY_SECONDS = 0.5;
  private static final double REMOVAL_DELAY_SECONDS = 1;
  private static final double MICROS_PER_SECOND = 1e6;

  private final EventQueue events = new EventQueue();
  private final Scenario scenario;
  private final long seed;
  private final Random random;
  private final Map<String, TargetModel> targets = new LinkedHashMap<>();
  private final List<TargetModel> registered = new ArrayList<>();
  private final Set<String> dead = new HashSet<>();
  private final List<RoutePolicy> policies;
  private final Map<ModelRequest, String> sentTo = new LinkedHashMap<>();
  private final Map<String, Double> tokensByTarget = new HashMap<>();
  private final Histogram firstToken = new Histogram(3);
  private final Histogram betweenTokens = new Histogram(3);
  private int failedAttempts;
  private int requests;

  private RouteRun(RoutePolicy.Kind kind, Scenario scenario, long seed) {
    this.scenario = scenario;
    this.seed = seed;
    this.random = new Random(seed);
    IntStream.range(0, TARGETS)
        .forEach(number -> add("target-" + number, zone(number), served(number)));
    this.policies =
        IntStream.range(0, ENTRIES).mapToObj(entry -> kind.create().create(this, entry)).toList();
  }

  static RouteResult run(RoutePolicy.Kind kind, Scenario scenario, long seed) {
    return new RouteRun(kind, scenario, seed).simulate();
  }

  static String zone(int number) {
    return "zone-" + number % ZONES;
  }

  long seed() {
    return seed;
  }

  Instant now() {
    return events.now();
  }

  void at(double seconds, Runnable action) {
    events.after(seconds - events.seconds(), action);
  }

  TargetModel target(String id) {
    return targets.get(id);
  }

  List<TargetModel> targets() {
    return registered;
  }

  /**
   * Returns the targets that serve a name and are not known to be leaving or removed. A dead target
   * stays until its removal.
   */
  List<TargetModel> available(String served, Set<String> excluded) {
    return registered.stream()
        .filter(target -> !target.isLeaving() && target.serves(served))
        .filter(target -> !excluded.contains(target.id()))
        .toList();
  }

  /** Adds a target that has the zone and the served names of another one. */
  void addLike(String id, String templateId) {
    TargetModel template = targets.get(templateId);
    add(id, template.zone(), template.served());
    deliver(targets.get(id).status());
  }

  /** Crashes a target; its attempts fail when links break, and the entries remove it later. */
  void kill(String id) {
    dead.add(id);
    targets.get(id).engine().crash();
    events.after(LINK_FAILURE_DELAY_SECONDS, () -> failAllAt(id));
    events.after(
        REMOVAL_DELAY_SECONDS,
        () -> {
          registered.remove(targets.get(id));
          policies.forEach(policy -> policy.removed(id));
        });
  }

  private RouteResult simulate() {
    targets.values().forEach(target -> deliver(target.status()));
    events.every(REPORT_PERIOD_SECONDS, this::reportAll);
    double effectivePrompt = PROMPT_TOKENS * (1 - 0.6 * EngineParameters.defaults().prefixShare());
    double rate =
        scenario.load()
            * TARGETS
            * EngineParameters.defaults().capacity(effectivePrompt, OUTPUT_TOKENS)
            / (OUTPUT_TOKENS + ModelRequest.PROMPT_TOKEN_COST * effectivePrompt);
    scenario.disturbance().accept(this);
    List.of("model", "adapter-a", "adapter-b")
        .forEach(
            served -> workload(served, rate).send(events, random, 0, END_SECONDS, this::arrived));
    events.runUntil(END_SECONDS);
    double mean =
        tokensByTarget.values().stream().mapToDouble(tokens -> tokens).average().orElse(1);
    double max = tokensByTarget.values().stream().mapToDouble(tokens -> tokens).max().orElse(1);
    double total = mean * tokensByTarget.size();
    long lookups = targets.values().stream().mapToLong(t -> t.engine().prefixLookups()).sum();
    long hits = targets.values().stream().mapToLong(t -> t.engine().prefixHits()).sum();
    return new RouteResult(
        firstToken,
        betweenTokens,
        (double) hits / lookups,
        max / mean,
        tokensByTarget.getOrDefault(Scenario.SLOW_TARGET, 0.0) / total,
        (double) failedAttempts / requests);
  }

  private static Workload workload(String served, double rate) {
    double share = served.equals("model") ? 0.6 : 0.2;
    return new Workload(
        served, 1, rate * share, PROMPT_TOKENS, OUTPUT_TOKENS, PREFIXES_PER_NAME, 1e6);
  }

  private static Set<String> served(int number) {
    Set<String> served = new HashSet<>(Set.of("model"));
    if (number < 10) {
      served.add("adapter-a");
    }
    if (number >= 6) {
      served.add("adapter-b");
    }
    return served;
  }

  private void add(String id, String zone, Set<String> served) {
    TargetModel target =
        new TargetModel(
            id,
            zone,
            served,
            events,
            EngineParameters.defaults(),
            TargetModel.Discipline.FIRST_IN_FIRST_OUT,
            this::ended);
    targets.put(id, target);
    registered.add(target);
  }

  private void arrived(ModelRequest request, double draw) {
    requests++;
    dispatch(request, (int) (draw * ENTRIES), Set.of());
  }

  private void dispatch(ModelRequest request, int entry, Set<String> excluded) {
    String chosen = policies.get(entry).choose(request, request.workspace(), excluded);
    sentTo.put(request, chosen);
    if (!dead.contains(chosen)) {
      targets.get(chosen).submit(request);
    } else {
      events.after(LINK_FAILURE_DELAY_SECONDS, () -> fail(request, chosen));
    }
  }

  private void failAllAt(String target) {
    List.copyOf(sentTo.entrySet()).stream()
        .filter(sent -> sent.getValue().equals(target))
        .forEach(sent -> fail(sent.getKey(), target));
  }

  private void fail(ModelRequest request, String target) {
    if (!target.equals(sentTo.get(request))) {
      return;
    }
    failedAttempts++;
    int entry = random.nextInt(ENTRIES);
    policies.get(entry).ended(target, request, true);
    dispatch(request, entry, Set.of(target));
  }

  private void ended(ModelRequest request) {
    String target = sentTo.remove(request);
    policies.get(random.nextInt(ENTRIES)).ended(target, request, false);
    if (request.arrivedAt() < WARM_UP_SECONDS) {
      return;
    }
    tokensByTarget.merge(target, request.actualTokens(), Double::sum);
    firstToken.recordValue((long) (request.firstTokenSeconds() * MICROS_PER_SECOND));
    betweenTokens.recordValue((long) (request.secondsBetweenTokens() * MICROS_PER_SECOND));
  }

  private void reportAll() {
    targets.values().stream()
        .filter(target -> !dead.contains(target.id()))
        .forEach(
            target -> {
              TargetStatus status = target.status();
              events.after(scenario.lagSeconds(), () -> deliver(status));
              reportNewPrefixes(target);
            });
  }

  private void reportNewPrefixes(TargetModel target) {
    List<Long> newPrefixes =
        target.engine().takeNewPrefixes().stream()
            .filter(prefix -> random.nextDouble() >= CACHE_REPORT_LOSS_RATE)
            .toList();
    events.after(
        scenario.lagSeconds() + CACHE_REPORT_DELAY_SECONDS,
        () -> policies.forEach(policy -> policy.cached(target.id(), newPrefixes)));
  }

  private void deliver(TargetStatus status) {
    policies.forEach(policy -> policy.report(status));
  }
}
