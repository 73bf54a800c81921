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
 * The ranks of one group in lock-step: a step begins when every rank may begin it, and takes as
 * long as the slowest rank. Each rank's map version is recorded at every step. Thread-safe under
 * one lock.
 */
final class EngineGroup implements AutoCloseable {
  private static final int RECORDED_MIXED_STEPS = 100;
  private static final long IDLE_WAIT_MILLIS = 100;
  private static final long HELD_WAIT_MILLIS = 1;
  private static final double EXPERT_SHARE_OF_STEP = 0.3;

  private final Object lock = new Object();
  private final EngineOptions options;
  private final List<EngineRank> ranks;
  private final List<FaultInjector> faults;
  private final ExpertPopularity popularity;
  private final Thread stepper;
  private final List<MixedStep> mixedSteps = new ArrayList<>();
  private long mixedStepCount;
  private long heldNanos;
  private long longestStallNanos;
  private long step;
  private boolean closed;

  /** A step in which ranks used different maps. */
  record MixedStep(long step, List<Long> versions) {}

  /** What {@code GET /control/group} tells. */
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
        ExpertMap.inTurn(1, options.ranks(), slots(options), options.experts()).toBytes();
    this.ranks =
        IntStream.range(0, options.ranks())
            .mapToObj(rank -> new RankMap(firstMap, options.checksFencing()))
            .map(map -> new EngineRank(options, map, newStart()))
            .collect(Collectors.toUnmodifiableList());
    this.popularity =
        new ExpertPopularity(options.experts(), Instant.now(), options.driftSeconds());
    this.stepper = new Thread(this::runSteps, "steps");
  }

  /** Starts the group's steps; one fault switch for each rank. */
  static EngineGroup start(EngineOptions options, List<FaultInjector> faults) {
    EngineGroup group = new EngineGroup(options, faults);
    group.stepper.setDaemon(true);
    group.stepper.start();
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
    return with(rank, engine -> engine.start(call));
  }

  GeneratedStream find(int rank, String streamId) {
    return with(rank, engine -> engine.find(streamId));
  }

  void cancel(int rank, String streamId) {
    synchronized (lock) {
      ranks.get(rank).cancel(streamId);
    }
  }

  EngineLoad load(int rank) {
    return with(rank, engine -> engine.load(Instant.now()));
  }

  CacheEvents cacheEvents(int rank, long fromSequence) {
    return with(rank, engine -> engine.cacheEvents(fromSequence, Instant.now()));
  }

  EngineState state(int rank) {
    return with(rank, EngineRank::state);
  }

  EngineState order(int rank, EngineOrder order) {
    return with(rank, engine -> engine.order(order));
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
          partMillis(rank, popularity.shares(now)));
    }
  }

  void restart(int rank) {
    synchronized (lock) {
      ranks.get(rank).restart(newStart());
      lock.notifyAll();
    }
  }

  Set<String> startedStreamIds(int rank) {
    return with(rank, engine -> new TreeSet<>(engine.startedStreamIds()));
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

  private <T> T with(int rank, Function<EngineRank, T> action) {
    synchronized (lock) {
      T result = action.apply(ranks.get(rank));
      lock.notifyAll();
      return result;
    }
  }

  private static long newStart() {
    return ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE);
  }

  private void runSteps() {
    try {
      long due = System.nanoTime();
      while (beginStep()) {
        // After a pause, steps go on from now: they are not caught up.
        due = Math.max(due, System.nanoTime() - 1_000_000) + stepNanos();
        sleepUntil(due);
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

  // A single engine without work sleeps. A group steps on, as real groups do, so that a switch of
  // the map that waits for a step comes to its end.
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
    if (mixedSteps.size() < RECORDED_MIXED_STEPS) {
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
              .mapToDouble(rank -> partMillis(rank, shares))
              .max()
              .orElseThrow();
      return (long) (slowest * 1e6);
    }
  }

  private double partMillis(int rank, List<Double> shares) {
    double even = shareOf(rank, shares) * ranks.size();
    Faults rankFaults = faults.get(rank).current();
    double factor = rankFaults.slowFactor() > 0 ? rankFaults.slowFactor() : 1;
    return options.stepMillis() * factor * (1 - EXPERT_SHARE_OF_STEP + EXPERT_SHARE_OF_STEP * even);
  }

  /** This rank's share of the tokens: replicas of an expert share its tokens evenly. */
  private double shareOf(int rank, List<Double> shares) {
    byte[] bytes = ranks.get(rank).map().map();
    int slots = slots(options);
    if (bytes.length != 2 * ranks.size() * slots) {
      return 1.0 / ranks.size();
    }
    ExpertMap map = ExpertMap.fromBytes(1, ranks.size(), slots, bytes);
    int[] replicas = new int[shares.size()];
    for (int holder = 0; holder < ranks.size(); holder++) {
      for (int slot = 0; slot < map.slots(); slot++) {
        replicas[map.expert(0, holder, slot)]++;
      }
    }
    return IntStream.range(0, map.slots())
        .map(slot -> map.expert(0, rank, slot))
        .mapToDouble(expert -> shares.get(expert) / replicas[expert])
        .sum();
  }

  /** One slot a rank more than the experts need, for replicas. */
  private static int slots(EngineOptions options) {
    return (options.experts() + options.ranks() - 1) / options.ranks() + 1;
  }

  private static void sleepUntil(long due) throws InterruptedException {
    long left = due - System.nanoTime();
    if (left > 0) {
      Thread.sleep(left / 1_000_000, (int) (left % 1_000_000));
    }
  }
}
