package dev.ibishub.gateway.experts;

import com.google.common.flogger.FluentLogger;
import dev.ibishub.core.ranks.ExpertDemand;
import dev.ibishub.core.ranks.GroupMap;
import dev.ibishub.core.ranks.MapEconomy;
import dev.ibishub.core.ranks.MapSwitch;
import dev.ibishub.core.ranks.PlacementLimits;
import dev.ibishub.core.ranks.PlacementPlanner;
import dev.ibishub.core.ranks.RankCommand;
import dev.ibishub.core.ranks.RankView;
import dev.ibishub.core.ranks.TokenSource;
import dev.ibishub.gateway.model.EngineProfile;
import dev.ibishub.gateway.model.Target;
import dev.ibishub.runtime.LogEvent;
import dev.ibishub.runtime.MonotonicClock;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.LongSupplier;
import java.util.stream.IntStream;

/**
 * One group as its leading entry sees it. All methods are called under the lock that it is given,
 * and answers to orders take the same.
 */
final class GroupLead {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * How far back the demand is looked at, milliseconds: two or three readings of the agents, in
   * which some fifteen prompts come in.
   */
  static final long WINDOW_MILLIS = 300;

  /** By what part of their length passes take longer while a rank copies experts. */
  private static final double COPYING_SLOWDOWN = 0.15;

  /**
   * How long a switch without its copying is expected to take before one was seen, milliseconds.
   */
  private static final long UNSEEN_SWITCH_MILLIS = 500;

  /** How long demand is expected to stand, milliseconds. */
  private static final long DEMAND_MILLIS = 5_000;

  /** Sets whose most loaded rank is within this of the mean are left alone. */
  static final double GOOD_SKEW = 1.1;

  /**
   * Ranks of a group whose counts are read. The demand is the same at all of them; the counts of 72
   * ranks with 12 sets of 144 experts would be a million numbers a second for the leading entry.
   */
  static final int RANKS_COUNTED = 16;

  /** Part of these ranks whose counts have to be known, so that an agent may be away. */
  static final double LEAST_RANKS_KNOWN = 0.6;

  /** Bits of a version that tell leaders apart, so that two never give one number to two maps. */
  private static final int SALT_BITS = 10;

  private final String group;
  private final int size;
  private final EngineProfile profile;
  private final LongSupplier longestPauseMillis;
  private final RankOrderSender orders;
  private final InstantSource clock;
  private final Object lock;
  private final MapSwitch mapSwitch;
  private final ExpertDemand demand;
  private final Map<Integer, Target> byRank = new HashMap<>();
  private final Map<Integer, Double> paces = new HashMap<>();
  private final Map<String, RankEngine.HeldMap> heldByHost;
  private final long salt = ThreadLocalRandom.current().nextLong(1L << SALT_BITS);
  private Optional<GroupMap> planned = Optional.empty();
  private long plannedVersion;
  private MapSwitch.Phase lastPhase = MapSwitch.Phase.IDLE;
  private long lastMapVersion = -1;
  private long startedAt;
  private long copyingMillis;
  private long switchMillis = UNSEEN_SWITCH_MILLIS;

  GroupLead(
      String group,
      int size,
      EngineProfile profile,
      LongSupplier longestPauseMillis,
      RankOrderSender orders,
      TokenSource tokens,
      InstantSource clock,
      Map<String, RankEngine.HeldMap> heldByHost,
      Object lock) {
    this.group = group;
    this.size = size;
    this.profile = profile;
    this.longestPauseMillis = longestPauseMillis;
    this.orders = orders;
    this.clock = clock;
    this.heldByHost = heldByHost;
    this.lock = lock;
    this.mapSwitch = new MapSwitch(size, tokens);
    this.demand = new ExpertDemand(profile.layers(), profile.experts(), WINDOW_MILLIS);
  }

  /** Whether the group is led by these figures. */
  boolean isFor(int ranks, EngineProfile engine) {
    return size == ranks && Objects.equals(profile, engine);
  }

  void onPlace(Target target, double pace, RankState.Membership place, long now) {
    byRank.put(place.rank(), target);
    paces.put(place.rank(), pace);
    mapSwitch.onView(
        place.rank(),
        new RankView(
            place.epoch(),
            place.isOpen(),
            place.step(),
            place.mapVersion(),
            place.preparedVersion(),
            place.armedVersion(),
            place.armedStep(),
            place.heldStep(),
            now));
  }

  void onPicks(String host, RankEngine.Picks picks, long now) {
    rankAt(host).ifPresent(rank -> demand.onCounts(rank, picks.epoch(), picks.counts(), now));
  }

  /** Whether a host's counts are needed, which is so as long as its rank is not known. */
  boolean wantsPicks(String host) {
    return rankAt(host).map(rank -> rank % stride() == 0).orElse(true);
  }

  /** Distance between two ranks that are counted. */
  private int stride() {
    return (size + RANKS_COUNTED - 1) / RANKS_COUNTED;
  }

  void tick(long now) {
    if (mapSwitch.isReady(now) && demand.ranksKnown() >= LEAST_RANKS_KNOWN * size / stride()) {
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
    if (current.get().skew(tokens, slowness) < profile.startSkew(longestPauseMillis.getAsLong())) {
      return;
    }
    Optional<PlacementPlanner.Plan> plan =
        PlacementPlanner.plan(current.get(), tokens, slowness, limits(), economy());
    if (plan.isEmpty()) {
      return;
    }
    long highest = Math.max(mapSwitch.highestVersion(), mapSwitch.version());
    long version = (Math.max(clock.millis(), (highest >> SALT_BITS) + 1) << SALT_BITS) | salt;
    planned = Optional.of(plan.get().map());
    plannedVersion = version;
    startedAt = now;
    copyingMillis = (long) (plan.get().fetchesOfARank() * profile.fetchMillis());
    mapSwitch.start(version, now);
    logger.atInfo().log(
        "%s",
        LogEvent.of("map.planned")
            .with("group", group)
            .with("version", version)
            .with("fetches", plan.get().fetches())
            .with("skew_before", number(plan.get().skewBefore()))
            .with("skew_after", number(plan.get().skewAfter()))
            .with("gain_ms", (long) plan.get().gainMillis())
            .with("tokens", (long) demand.total())
            .with("plan_ms", MonotonicClock.millis() - now));
  }

  private double[] slowness() {
    return IntStream.range(0, size)
        .mapToDouble(rank -> Math.max(1, paces.getOrDefault(rank, 1.0)))
        .toArray();
  }

  private PlacementLimits limits() {
    int newPerSet = Math.max(1, profile.newPerSet());
    return new PlacementLimits(
        profile.placesPerRank(), newPerSet, newPerSet * profile.layers(), GOOD_SKEW);
  }

  private MapEconomy economy() {
    return new MapEconomy(
        profile::passLength, profile.fetchMillis(), switchMillis, COPYING_SLOWDOWN, DEMAND_MILLIS);
  }

  /** The map that all ranks use: the one last planned here, or what the ranks say they hold. */
  private Optional<GroupMap> currentMap() {
    long version = mapSwitch.mapVersion().orElse(-1);
    if (planned.isPresent() && version == plannedVersion) {
      return planned;
    }
    long epoch = mapSwitch.epoch();
    List<RankEngine.HeldMap> held =
        IntStream.range(0, size)
            .mapToObj(byRank::get)
            .filter(Objects::nonNull)
            .map(target -> heldByHost.get(target.host()))
            .filter(Objects::nonNull)
            .filter(map -> map.version() == version && map.epoch() == epoch)
            .filter(map -> map.experts().length == profile.layers())
            .toList();
    if (held.size() < size) {
      return Optional.empty();
    }
    int[][][] experts =
        IntStream.range(0, profile.layers())
            .mapToObj(set -> held.stream().map(map -> map.experts()[set]).toArray(int[][]::new))
            .toArray(int[][][]::new);
    return Optional.of(GroupMap.of(experts)).filter(map -> map.holdsAll(profile.experts()));
  }

  private void send(RankCommand command) {
    Target target = byRank.get(command.rank());
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
                ? planned.map(GroupMap::experts)
                : Optional.empty());
    orders.give(target, order).thenAccept(result -> onResult(command, result));
  }

  private void onResult(RankCommand command, RankOrder.Result result) {
    synchronized (lock) {
      long now = MonotonicClock.millis();
      mapSwitch.onResult(command, RankCommand.Result.valueOf(result.name()), now);
      mapSwitch.tick(now).forEach(this::send);
      logPhase(now);
    }
  }

  private Optional<Integer> rankAt(String host) {
    return byRank.entrySet().stream()
        .filter(entry -> entry.getValue().host().equals(host))
        .map(Map.Entry::getKey)
        .findFirst();
  }

  private void logPhase(long now) {
    MapSwitch.Phase phase = mapSwitch.phase();
    if (phase == lastPhase) {
      return;
    }
    long map = mapSwitch.mapVersion().orElse(-1);
    if (phase == MapSwitch.Phase.IDLE && map != lastMapVersion) {
      lastMapVersion = map;
      demand.restart();
      if (map == plannedVersion) {
        switchMillis = Math.max(0, now - startedAt - copyingMillis);
      }
    }
    logger.atInfo().log(
        "%s",
        LogEvent.of("map.phase")
            .with("group", group)
            .with("version", mapSwitch.version())
            .with("from", lastPhase)
            .with("to", phase)
            .with("map", map)
            .with("after_ms", now - startedAt));
    lastPhase = phase;
  }

  private static String number(double value) {
    return String.format(Locale.ROOT, "%.3f", value);
  }
}
