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

/** One scenario under one policy. Not thread-safe. */
final class RouteRun {
  static final double WARM_UP = 10;
  static final double END = 40;
  private static final int TARGETS = 16;
  static final int ENTRIES = 6;
  private static final int ZONES = 3;
  private static final int PROMPT = 600;
  private static final int OUTPUT = 100;
  private static final int PREFIXES = 300;
  private static final double REPORT_PERIOD = 0.2;
  private static final double CACHE_LAG = 0.5;
  private static final double CACHE_LOSS = 0.2;
  private static final double LINK_BREAKS_AFTER = 0.5;
  private static final double REMOVED_AFTER = 1;
  private static final double MICROS = 1e6;

  private final EventQueue events = new EventQueue();
  private final Scenario scenario;
  private final long seed;
  private final Random random;
  private final Map<String, TargetModel> targets = new LinkedHashMap<>();
  private final List<TargetModel> open = new ArrayList<>();
  private final Set<String> dead = new HashSet<>();
  private final List<RoutePolicy> policies;
  private final Map<ModelRequest, String> sentTo = new LinkedHashMap<>();
  private final Map<String, Double> tokensOf = new HashMap<>();
  private final Histogram firstToken = new Histogram(3);
  private final Histogram betweenTokens = new Histogram(3);
  private int failedAttempts;
  private int arrivedRequests;

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
    return new RouteRun(kind, scenario, seed).go();
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
    return open;
  }

  /** Targets that serve a name and take work as far as anybody can know. */
  List<TargetModel> open(String served, Set<String> excluded) {
    return open.stream()
        .filter(target -> !target.isLeaving() && target.serves(served))
        .filter(target -> !excluded.contains(target.id()))
        .toList();
  }

  /** Adds a target that serves what another one serves. */
  void join(String id, String like) {
    TargetModel old = targets.get(like);
    add(id, old.zone(), old.served());
    deliver(targets.get(id).status());
  }

  /** Lets a target die; the entries notice when links break, and drop it after a while. */
  void kill(String id) {
    dead.add(id);
    targets.get(id).engine().die();
    events.after(LINK_BREAKS_AFTER, () -> failAllAt(id));
    events.after(
        REMOVED_AFTER,
        () -> {
          open.remove(targets.get(id));
          policies.forEach(policy -> policy.removed(id));
        });
  }

  private RouteResult go() {
    targets.values().forEach(target -> deliver(target.status()));
    events.every(REPORT_PERIOD, this::reportAll);
    double effectivePrompt = PROMPT * (1 - 0.6 * EngineParameters.defaults().prefixShare());
    double rate =
        scenario.load()
            * TARGETS
            * EngineParameters.defaults().capacity(effectivePrompt, OUTPUT)
            / (OUTPUT + ModelRequest.PROMPT_TOKEN_COST * effectivePrompt);
    scenario.disturbance().accept(this);
    List.of("model", "adapter-a", "adapter-b")
        .forEach(served -> workload(served, rate).send(events, random, 0, END, this::arrived));
    events.runUntil(END);
    double mean = tokensOf.values().stream().mapToDouble(tokens -> tokens).average().orElse(1);
    double most = tokensOf.values().stream().mapToDouble(tokens -> tokens).max().orElse(1);
    double all = mean * tokensOf.size();
    long lookups = targets.values().stream().mapToLong(t -> t.engine().prefixLookups()).sum();
    long hits = targets.values().stream().mapToLong(t -> t.engine().prefixHits()).sum();
    return new RouteResult(
        firstToken,
        betweenTokens,
        (double) hits / lookups,
        most / mean,
        tokensOf.getOrDefault(Scenario.SLOW_TARGET, 0.0) / all,
        (double) failedAttempts / arrivedRequests);
  }

  private static Workload workload(String served, double rate) {
    double share = served.equals("model") ? 0.6 : 0.2;
    return new Workload(served, 1, rate * share, PROMPT, OUTPUT, PREFIXES, 1e6);
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
    open.add(target);
  }

  private void arrived(ModelRequest request, double draw) {
    arrivedRequests++;
    dispatch(request, (int) (draw * ENTRIES), Set.of());
  }

  private void dispatch(ModelRequest request, int entry, Set<String> excluded) {
    String chosen = policies.get(entry).choose(request, request.workspace(), excluded);
    sentTo.put(request, chosen);
    if (!dead.contains(chosen)) {
      targets.get(chosen).submit(request);
    } else {
      events.after(LINK_BREAKS_AFTER, () -> fail(request, chosen));
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
    if (request.arrivedAt() < WARM_UP) {
      return;
    }
    tokensOf.merge(target, request.actualTokens(), Double::sum);
    firstToken.recordValue((long) (request.firstTokenSeconds() * MICROS));
    betweenTokens.recordValue((long) (request.secondsBetweenTokens() * MICROS));
  }

  private void reportAll() {
    targets.values().stream()
        .filter(target -> !dead.contains(target.id()))
        .forEach(
            target -> {
              TargetStatus status = target.status();
              events.after(scenario.lagSeconds(), () -> deliver(status));
              cacheEvents(target);
            });
  }

  private void cacheEvents(TargetModel target) {
    List<Long> news =
        target.engine().takeCacheNews().stream()
            .filter(prefix -> random.nextDouble() >= CACHE_LOSS)
            .toList();
    events.after(
        scenario.lagSeconds() + CACHE_LAG,
        () -> policies.forEach(policy -> policy.cached(target.id(), news)));
  }

  private void deliver(TargetStatus status) {
    policies.forEach(policy -> policy.report(status));
  }
}
