package dev.ibishub.standins;

import dev.ibishub.core.ExpertMap;
import dev.ibishub.engines.CacheEvents;
import dev.ibishub.engines.EngineLoad;
import dev.ibishub.engines.EngineOrder;
import dev.ibishub.engines.EngineState;
import dev.ibishub.engines.GenerationCall;
import dev.ibishub.engines.RankOrder;
import dev.ibishub.engines.RankState;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * The ranks of one group, which run in lock-step: a step begins when every rank may begin it, and
 * takes as long as the slowest rank.
 *
 * <p>The map version of each rank is checked at every step. Thread-safe under one lock.
 */
final class EngineGroup implements AutoCloseable {
  private static final int MAXIMUM_RECORDED_MIXED_STEPS = 100;
  private static final long IDLE_WAIT_MILLIS = 100;
  private static final long HELD_WAIT_MILLIS = 1;

  /** Share of a step's time that is proportional to the rank's expert load. */
  private static final double EXPERT_SHARE_OF_STEP = 0.3;

  private final Object lock = new Object();
  private final EngineOptions options;
  private final List<EngineRank> ranks;
  private final List<FaultInjector> faults;
  private final ExpertPopularity popularity;
  private final Thread stepThread;
  private final List<MixedStep> mixedSteps = new ArrayList<>();
  private long mixedStepCount;
  private long heldNanos;
  private long longestStallNanos;
  private long step;
  private boolean closed;

  /** A step in which ranks used different maps. */
  record MixedStep(long step, List<Long> versions) {}

  /** The answer to {@code GET /control/group}. */
  record Audit(
      long steps,
      List<Long> mapVersions,
      long mixedStepCount,
      List<MixedStep> mixedSteps,
      double heldMillis,
      double longestStallMillis) {}

  private EngineGroup(EngineOptions options, List<FaultInjector> faults) {
    this.options = options;
    this.faults = List.copyOf(faults);
    byte[] firstMap =
        ExpertMap.roundRobin(1, options.ranks(), slots(options), options.experts()).toBytes();
    this.ranks =
        IntStream.range(0, options.ranks())
            .mapToObj(rank -> new RankMap(firstMap, options.checksFencing()))
            .map(map -> new EngineRank(options, map, newEngineStart()))
            .collect(Collectors.toUnmodifiableList());
    this.popularity =
        new ExpertPopularity(options.experts(), Instant.now(), options.driftSeconds());
    this.stepThread = new Thread(this::runSteps, "steps");
  }

  /**
   * Starts the thread that runs the group's steps.
   *
   * @param faults one fault injector per rank
   */
  static EngineGroup start(EngineOptions options, List<FaultInjector> faults) {
    EngineGroup group = new EngineGroup(options, faults);
    group.stepThread.setDaemon(true);
    group.stepThread.start();
    return group;
  }

  @Override
  public void close() {
    synchronized (lock) {
      closed = true;
      lock.notifyAll();
    }
  }

  GeneratedStream generate(int rank, GenerationCall call) {
    return withRank(rank, engine -> engine.start(call));
  }

  GeneratedStream find(int rank, String streamId) {
    return withRank(rank, engine -> engine.find(streamId));
  }

  void cancel(int rank, String streamId) {
    synchronized (lock) {
      ranks.get(rank).cancel(streamId);
    }
  }

  EngineLoad load(int rank) {
    return withRank(rank, engine -> engine.load(Instant.now()));
  }

  CacheEvents cacheEvents(int rank, long fromSequence) {
    return withRank(rank, engine -> engine.cacheEvents(fromSequence, Instant.now()));
  }

  EngineState state(int rank) {
    return withRank(rank, EngineRank::state);
  }

  EngineState order(int rank, EngineOrder order) {
    return withRank(rank, engine -> engine.order(order));
  }

  RankState orderRank(int rank, RankOrder order) {
    synchronized (lock) {
      ranks.get(rank).map().order(order, step);
      lock.notifyAll();
      return rankState(rank);
    }
  }

  RankState rankState(int rank) {
    synchronized (lock) {
      EngineRank engine = ranks.get(rank);
      RankMap map = engine.map();
      Instant now = Instant.now();
      double tokens = engine.tokensPerSecond(now);
      return new RankState(
          engine.engineStart(),
          options.group(),
          rank,
          step,
          map.version(),
          map.stagedVersion(),
          map.holdStep(),
          map.committedVersion(),
          map.committedStep(),
          map.map(),
          popularity.shares(now).stream().map(share -> share * tokens).toList(),
          rankStepMillis(rank, popularity.shares(now)));
    }
  }

  void restart(int rank) {
    synchronized (lock) {
      ranks.get(rank).restart(newEngineStart());
      lock.notifyAll();
    }
  }

  Set<String> startedStreamIds(int rank) {
    return withRank(rank, engine -> new TreeSet<>(engine.startedStreamIds()));
  }

  Audit audit() {
    synchronized (lock) {
      return new Audit(
          step,
          ranks.stream().map(engine -> engine.map().version()).toList(),
          mixedStepCount,
          List.copyOf(mixedSteps),
          heldNanos / 1e6,
          longestStallNanos / 1e6);
    }
  }

  private <T> T withRank(int rank, Function<EngineRank, T> action) {
    synchronized (lock) {
      T result = action.apply(ranks.get(rank));
      lock.notifyAll();
      return result;
    }
  }

  private static long newEngineStart() {
    return ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE);
  }

  private void runSteps() {
    try {
      long dueNanos = System.nanoTime();
      while (beginStep()) {
        // Steps that were missed during a pause are not made up for.
        dueNanos = Math.max(dueNanos, System.nanoTime() - 1_000_000) + stepNanos();
        sleepUntil(dueNanos);
        finishStep();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private boolean beginStep() throws InterruptedException {
    synchronized (lock) {
      awaitWork();
      long waitedFrom = System.nanoTime();
      while (!closed && !allReady(step + 1)) {
        lock.wait(HELD_WAIT_MILLIS);
      }
      long waited = System.nanoTime() - waitedFrom;
      heldNanos += waited;
      longestStallNanos = Math.max(longestStallNanos, waited);
      if (closed) {
        return false;
      }
      step++;
      recordVersions(ranks.stream().map(engine -> engine.map().begin(step)).toList());
      return true;
    }
  }

  // A single engine without work sleeps. A group keeps stepping as real groups do, because a map
  // switch completes only when a given step is reached.
  private void awaitWork() throws InterruptedException {
    while (!closed && ranks.size() == 1 && ranks.get(0).idle()) {
      lock.wait(IDLE_WAIT_MILLIS);
      ranks.get(0).sampleLoad(Instant.now());
    }
  }

  private boolean allReady(long next) {
    return ranks.stream().allMatch(engine -> engine.map().canBegin(next))
        && faults.stream().noneMatch(rankFaults -> rankFaults.current().freeze());
  }

  private void recordVersions(List<Long> versions) {
    if (versions.stream().distinct().count() == 1) {
      return;
    }
    mixedStepCount++;
    if (mixedSteps.size() < MAXIMUM_RECORDED_MIXED_STEPS) {
      mixedSteps.add(new MixedStep(step, versions));
    }
  }

  private void finishStep() {
    synchronized (lock) {
      Instant now = Instant.now();
      ranks.forEach(engine -> engine.step(now));
      ranks.forEach(engine -> engine.sampleLoad(now));
    }
  }

  private long stepNanos() {
    synchronized (lock) {
      List<Double> shares = popularity.shares(Instant.now());
      double slowest =
          IntStream.range(0, ranks.size())
              .mapToDouble(rank -> rankStepMillis(rank, shares))
              .max()
              .orElseThrow();
      return (long) (slowest * 1e6);
    }
  }

  private double rankStepMillis(int rank, List<Double> shares) {
    double relativeLoad = tokenShareOf(rank, shares) * ranks.size();
    Faults rankFaults = faults.get(rank).current();
    double factor = rankFaults.slowFactor() > 0 ? rankFaults.slowFactor() : 1;
    return options.stepMillis()
        * factor
        * (1 - EXPERT_SHARE_OF_STEP + EXPERT_SHARE_OF_STEP * relativeLoad);
  }

  /** Returns this rank's share of the tokens; replicas of an expert share its tokens evenly. */
  private double tokenShareOf(int rank, List<Double> shares) {
    byte[] bytes = ranks.get(rank).map().map();
    int slots = slots(options);
    if (bytes.length != 2 * ranks.size() * slots) {
      return 1.0 / ranks.size();
    }
    ExpertMap map = ExpertMap.fromBytes(1, ranks.size(), slots, bytes);
    int[] replicas = new int[shares.size()];
    for (int replicaRank = 0; replicaRank < ranks.size(); replicaRank++) {
      for (int slot = 0; slot < map.slots(); slot++) {
        replicas[map.expert(0, replicaRank, slot)]++;
      }
    }
    return IntStream.range(0, map.slots())
        .map(slot -> map.expert(0, rank, slot))
        .mapToDouble(expert -> shares.get(expert) / replicas[expert])
        .sum();
  }

  /** Returns the slots per rank: one more than the experts need, for replicas. */
  private static int slots(EngineOptions options) {
    return (options.experts() + options.ranks() - 1) / options.ranks() + 1;
  }

  private static void sleepUntil(long dueNanos) throws InterruptedException {
    long left = dueNanos - System.nanoTime();
    if (left > 0) {
      Thread.sleep(left / 1_000_000, (int) (left % 1_000_000));
    }
  }
}
