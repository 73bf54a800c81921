package dev.ibishub.gateway.experts;

import com.google.common.flogger.FluentLogger;
import dev.ibishub.core.ranks.ExpertDemand;
import dev.ibishub.core.ranks.FencingTokenSource;
import dev.ibishub.core.ranks.GroupMap;
import dev.ibishub.core.ranks.MapCostModel;
import dev.ibishub.core.ranks.MapSwitch;
import dev.ibishub.core.ranks.PlacementLimits;
import dev.ibishub.core.ranks.PlacementPlanner;
import dev.ibishub.core.ranks.RankCommand;
import dev.ibishub.core.ranks.RankView;
import dev.ibishub.gateway.model.EngineProfile;
import dev.ibishub.gateway.model.Target;
import dev.ibishub.runtime.LogEvent;
import dev.ibishub.runtime.MonotonicClock;
import dev.ibishub.runtime.ThreadConfinement;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Plans maps for one group of ranks and switches the group to them, while this entry leads. Not
 * thread-safe: all methods are called on the thread of the {@link ExpertController}, and results of
 * orders complete on it.
 *
 * <p>Used on the platform of ibishub's users; the counterpart behind ibishub's own interface is
 * {@code dev.ibishub.entry.GroupController}.
 */
final class GroupRebalancer {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * Window over which demand is counted, milliseconds: two or three reports of the agents, in which
   * about fifteen prompts arrive.
   */
  static final long DEMAND_WINDOW_MILLIS = 300;

  /** Fraction by which passes take longer while a rank copies experts. */
  private static final double COPYING_SLOWDOWN = 0.15;

  /**
   * Expected duration of a switch without its copying, before the first one is observed.
   * Milliseconds.
   */
  private static final long DEFAULT_SWITCH_MILLIS = 500;

  /** How long demand is expected to stay the same, milliseconds. */
  private static final long STABLE_DEMAND_MILLIS = 5_000;

  /** Sets whose most loaded rank has at most this many times the mean load are left unchanged. */
  static final double GOOD_SKEW = 1.1;

  /**
   * Most ranks of a group whose expert counts are read. The demand is the same at all ranks that
   * take requests, and the counts of 72 ranks with 12 sets of 144 experts would be a million
   * numbers a second for the leading entry.
   */
  static final int MAX_SAMPLED_RANKS = 16;

  /**
   * Fraction of the sampled ranks whose counts must be known; less than 1, so that an agent may be
   * away.
   */
  static final double LEAST_SHARE_KNOWN = 0.6;

  /**
   * Bits of a map version that tell leaders apart, so that two never give one version to two maps.
   */
  private static final int SALT_BITS = 10;

  private final String group;
  private final int size;
  private final EngineProfile profile;
  private final LongSupplier pauseObjectiveMillis;
  private final Predicate<Target> takesRequests;
  private final RankOrderSender orderSender;
  private final InstantSource clock;
  private final ThreadConfinement confinement;
  private final MapSwitch mapSwitch;
  private final ExpertDemand demand;
  private final Map<Integer, Target> targetByRank = new HashMap<>();
  private final Map<Integer, Double> slowdownByRank = new HashMap<>();
  private final Map<String, RankEngine.HeldMap> heldByHost;
  private final long salt = ThreadLocalRandom.current().nextLong(1L << SALT_BITS);
  private Set<Integer> sampledRanks;
  private Optional<GroupMap> plannedMap = Optional.empty();
  private long plannedVersion;
  private MapSwitch.Phase loggedPhase = MapSwitch.Phase.IDLE;
  private long lastMapVersion = -1;
  private long switchStartedAt;
  private long expectedCopyMillis;
  private long switchMillis = DEFAULT_SWITCH_MILLIS;

  GroupRebalancer(
      String group,
      int size,
      EngineProfile profile,
      LongSupplier pauseObjectiveMillis,
      Predicate<Target> takesRequests,
      RankOrderSender orderSender,
      FencingTokenSource tokens,
      InstantSource clock,
      Map<String, RankEngine.HeldMap> heldByHost,
      ThreadConfinement confinement) {
    this.group = group;
    this.size = size;
    this.profile = profile;
    this.pauseObjectiveMillis = pauseObjectiveMillis;
    this.takesRequests = takesRequests;
    this.orderSender = orderSender;
    this.clock = clock;
    this.heldByHost = heldByHost;
    this.confinement = confinement;
    this.mapSwitch = new MapSwitch(size, tokens);
    this.demand = new ExpertDemand(profile.layers(), profile.experts(), DEMAND_WINDOW_MILLIS);
    this.sampledRanks = chooseSample();
  }

  /** Whether this instance was created for a group of this size and engine profile. */
  boolean matches(int ranks, EngineProfile engine) {
    return size == ranks && Objects.equals(profile, engine);
  }

  void onMembership(Target target, double slowdown, RankState.Membership membership, long now) {
    targetByRank.put(membership.rank(), target);
    slowdownByRank.put(membership.rank(), slowdown);
    mapSwitch.onView(
        membership.rank(),
        new RankView(
            membership.epoch(),
            membership.isOpen(),
            membership.step(),
            membership.mapVersion(),
            membership.preparedVersion(),
            membership.armedVersion(),
            membership.armedStep(),
            membership.heldStep(),
            now));
  }

  void onPicks(String host, RankEngine.Picks picks, long now) {
    rankAt(host).ifPresent(rank -> demand.onCounts(rank, picks.epoch(), picks.counts(), now));
  }

  /** Whether expert counts from a host are needed. They are until the host's rank is known. */
  boolean wantsPicks(String host) {
    return rankAt(host).map(sampledRanks::contains).orElse(true);
  }

  /**
   * Returns the ranks whose counts are read, evenly spread over those that take requests. The ranks
   * of an evacuated zone count nothing, and all samples could be in that zone.
   */
  private Set<Integer> chooseSample() {
    int[] serving = servingRanks();
    int stride = samplingStride(serving.length);
    return IntStream.range(0, serving.length)
        .filter(index -> index % stride == 0)
        .mapToObj(index -> serving[index])
        .collect(Collectors.toSet());
  }

  /** Returns the ranks that take requests, or all ranks if none does. */
  private int[] servingRanks() {
    int[] serving =
        IntStream.range(0, size)
            .filter(
                rank ->
                    Optional.ofNullable(targetByRank.get(rank))
                        .map(takesRequests::test)
                        .orElse(true))
            .toArray();
    return serving.length > 0 ? serving : IntStream.range(0, size).toArray();
  }

  /** Returns the distance between two sampled ranks among those that take requests. */
  private static int samplingStride(int serving) {
    return (serving + MAX_SAMPLED_RANKS - 1) / MAX_SAMPLED_RANKS;
  }

  /** Drops what ranks counted that are no longer sampled; it would never be renewed. */
  private void updateSample() {
    Set<Integer> sampled = chooseSample();
    if (!sampled.equals(sampledRanks)) {
      sampledRanks = sampled;
      demand.retainRanks(sampled);
    }
  }

  private boolean isDemandKnown() {
    int serving = servingRanks().length;
    return demand.ranksKnown() >= LEAST_SHARE_KNOWN * serving / samplingStride(serving);
  }

  void tick(long now) {
    updateSample();
    if (mapSwitch.isReady(now) && isDemandKnown()) {
      plan(demand.tokens(), now);
    }
    mapSwitch.tick(now).forEach(this::send);
    logPhase(now);
  }

  private void plan(double[][] tokens, long now) {
    Optional<GroupMap> current = currentMap();
    if (current.isEmpty()) {
      return;
    }
    double[] slowness = slowness();
    if (current.get().skew(tokens, slowness)
        < profile.startSkew(pauseObjectiveMillis.getAsLong())) {
      return;
    }
    Optional<PlacementPlanner.Plan> plan =
        PlacementPlanner.plan(current.get(), tokens, slowness, limits(), costModel());
    if (plan.isEmpty()) {
      return;
    }
    long highest = Math.max(mapSwitch.highestVersion(), mapSwitch.version());
    long version = (Math.max(clock.millis(), (highest >> SALT_BITS) + 1) << SALT_BITS) | salt;
    plannedMap = Optional.of(plan.get().map());
    plannedVersion = version;
    switchStartedAt = now;
    expectedCopyMillis = (long) (plan.get().mostFetchesByOneRank() * profile.fetchMillis());
    mapSwitch.start(version, now);
    logger.atInfo().log(
        "%s",
        LogEvent.of("map.planned")
            .with("group", group)
            .with("version", version)
            .with("fetches", plan.get().fetches())
            .with("skew_before", formatDecimal(plan.get().skewBefore()))
            .with("skew_after", formatDecimal(plan.get().skewAfter()))
            .with("gain_ms", (long) plan.get().gainMillis())
            .with("tokens", (long) demand.total())
            .with("plan_ms", MonotonicClock.millis() - now));
  }

  private double[] slowness() {
    return IntStream.range(0, size)
        .mapToDouble(rank -> Math.max(1, slowdownByRank.getOrDefault(rank, 1.0)))
        .toArray();
  }

  private PlacementLimits limits() {
    int maximumFetchesPerSet = Math.max(1, profile.maximumFetchesPerSet());
    return new PlacementLimits(
        profile.placesPerRank(),
        maximumFetchesPerSet,
        maximumFetchesPerSet * profile.layers(),
        GOOD_SKEW);
  }

  private MapCostModel costModel() {
    return new MapCostModel(
        profile::relativePassDuration,
        profile.fetchMillis(),
        switchMillis,
        COPYING_SLOWDOWN,
        STABLE_DEMAND_MILLIS);
  }

  /**
   * Returns the map that all ranks use: the last one planned here, or the one that the ranks
   * report. Empty if neither is known in full.
   */
  private Optional<GroupMap> currentMap() {
    long version = mapSwitch.mapVersion().orElse(-1);
    if (plannedMap.isPresent() && version == plannedVersion) {
      return plannedMap;
    }
    long epoch = mapSwitch.epoch();
    List<RankEngine.HeldMap> heldMaps =
        IntStream.range(0, size)
            .mapToObj(targetByRank::get)
            .filter(Objects::nonNull)
            .map(target -> heldByHost.get(target.host()))
            .filter(Objects::nonNull)
            .filter(map -> map.version() == version && map.epoch() == epoch)
            .filter(map -> map.experts().length == profile.layers())
            .toList();
    if (heldMaps.size() < size) {
      return Optional.empty();
    }
    int[][][] experts =
        IntStream.range(0, profile.layers())
            .mapToObj(set -> heldMaps.stream().map(map -> map.experts()[set]).toArray(int[][]::new))
            .toArray(int[][][]::new);
    return Optional.of(GroupMap.of(experts)).filter(map -> map.holdsAll(profile.experts()));
  }

  private void send(RankCommand command) {
    Target target = targetByRank.get(command.rank());
    if (target == null) {
      return;
    }
    RankOrder order =
        new RankOrder(
            target.id(),
            RankOrder.Kind.valueOf(command.kind().name()),
            command.version(),
            command.step(),
            command.epoch(),
            command.token(),
            command.kind() == RankCommand.Kind.PREPARE
                ? plannedMap.map(GroupMap::experts)
                : Optional.empty());
    orderSender.send(target, order).thenAccept(result -> onResult(command, result));
  }

  private void onResult(RankCommand command, RankOrder.Result result) {
    confinement.check();
    long now = MonotonicClock.millis();
    mapSwitch.onResult(command, RankCommand.Result.valueOf(result.name()), now);
    mapSwitch.tick(now).forEach(this::send);
    logPhase(now);
  }

  private Optional<Integer> rankAt(String host) {
    return targetByRank.entrySet().stream()
        .filter(entry -> entry.getValue().host().equals(host))
        .map(Map.Entry::getKey)
        .findFirst();
  }

  private void logPhase(long now) {
    MapSwitch.Phase phase = mapSwitch.phase();
    if (phase == loggedPhase) {
      return;
    }
    long map = mapSwitch.mapVersion().orElse(-1);
    if (phase == MapSwitch.Phase.IDLE && map != lastMapVersion) {
      lastMapVersion = map;
      demand.restart();
      if (map == plannedVersion) {
        switchMillis = Math.max(0, now - switchStartedAt - expectedCopyMillis);
      }
    }
    logger.atInfo().log(
        "%s",
        LogEvent.of("map.phase")
            .with("group", group)
            .with("version", mapSwitch.version())
            .with("from", loggedPhase)
            .with("to", phase)
            .with("map", map)
            .with("after_ms", now - switchStartedAt));
    loggedPhase = phase;
  }

  private static String formatDecimal(double value) {
    return String.format(Locale.ROOT, "%.3f", value);
  }
}
