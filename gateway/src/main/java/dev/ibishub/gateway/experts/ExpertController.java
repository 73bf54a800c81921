package dev.ibishub.gateway.experts;

import com.google.common.flogger.FluentLogger;
import dev.ibishub.gateway.front.TargetDirectory;
import dev.ibishub.gateway.model.EngineProfile;
import dev.ibishub.gateway.model.Route;
import dev.ibishub.gateway.model.Service;
import dev.ibishub.gateway.model.ServingConfiguration;
import dev.ibishub.gateway.model.Target;
import dev.ibishub.runtime.LogEvent;
import dev.ibishub.runtime.ThreadConfinement;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;

/**
 * Keeps the expert maps of all groups matched to the demand, while this entry leads. Not
 * thread-safe: all methods are called on the entry's event loop, and results of orders complete on
 * it.
 *
 * <p>Used on the platform of ibishub's users; the counterpart behind ibishub's own interface is
 * {@code dev.ibishub.entry.GroupLeads}.
 */
public final class ExpertController implements RankLinks.RankListener {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Longest pause wanted between two pieces of a stream if no route states one, milliseconds. */
  private static final long DEFAULT_PAUSE_MILLIS = 150;

  private static final long NO_VERSION = -1;

  private final TargetDirectory targets;
  private final Supplier<Optional<ServingConfiguration>> configuration;
  private final Map<String, GroupRebalancer> groups = new HashMap<>();
  private final Map<String, RankEngine.HeldMap> heldByHost = new HashMap<>();
  private final RankOrderSender orderSender;
  private final ClockFencingTokens tokens;
  private final InstantSource clock;
  private final Map<String, Long> pauseByService = new HashMap<>();
  private final ThreadConfinement confinement = new ThreadConfinement();
  private long pausesConfigurationVersion = NO_VERSION;
  private boolean isLeading;

  /**
   * Creates a controller that does not lead.
   *
   * @param targets the targets of the ranks
   * @param configuration returns the configuration in force, if there is one
   * @param orderSender sends orders to engines; its results complete on the thread that calls this
   * @param clock the time of day, for fencing tokens and map versions
   */
  public ExpertController(
      TargetDirectory targets,
      Supplier<Optional<ServingConfiguration>> configuration,
      RankOrderSender orderSender,
      InstantSource clock) {
    this.targets = targets;
    this.configuration = configuration;
    this.orderSender = orderSender;
    this.clock = clock;
    this.tokens = new ClockFencingTokens(clock, ThreadLocalRandom.current().nextLong());
  }

  /**
   * Takes or gives up the lead, and advances the map switches of all groups while leading. To be
   * called often.
   *
   * @param leads whether this entry is the leader
   */
  public void tick(boolean leads, long now) {
    confinement.check();
    if (leads != isLeading) {
      isLeading = leads;
      groups.clear();
      logger.atInfo().log("%s", LogEvent.of(leads ? "lead.taken" : "lead.given_up"));
    }
    if (leads) {
      List.copyOf(groups.values()).forEach(group -> group.tick(now));
    }
  }

  /** Whether expert counts from a host are needed. */
  public boolean wantsPicks(String host) {
    confinement.check();
    return groups.values().stream().allMatch(group -> group.wantsPicks(host));
  }

  @Override
  public void onState(String host, RankState state, long now) {
    confinement.check();
    if (!isLeading || state.membership().isEmpty()) {
      return;
    }
    RankState.Membership membership = state.membership().get();
    Optional<Target> target = engineAt(host);
    Optional<EngineProfile> profile = target.flatMap(this::profile);
    if (target.isEmpty() || profile.isEmpty() || !profile.get().hasExperts()) {
      return;
    }
    GroupRebalancer rebalancer = groups.get(membership.group());
    // An instance created under an older configuration may have a profile with fewer experts than
    // there are; the ranks' counts would not match it, and it would never plan a map.
    if (rebalancer == null || !rebalancer.matches(membership.size(), profile.get())) {
      rebalancer =
          new GroupRebalancer(
              membership.group(),
              membership.size(),
              profile.get(),
              () -> pauseObjectiveMillis(target.get().service()),
              each -> !targets.isInEvacuatedZone(each),
              orderSender,
              tokens,
              clock,
              heldByHost,
              confinement);
      groups.put(membership.group(), rebalancer);
      logger.atInfo().log(
          "%s",
          LogEvent.of("group.found")
              .with("group", membership.group())
              .with("ranks", membership.size())
              .with("epoch", membership.epoch())
              .with("map", membership.mapVersion()));
    }
    rebalancer.onMembership(target.get(), state.slowdown(), membership, now);
  }

  @Override
  public void onPicks(String host, RankEngine.Picks picks, long now) {
    confinement.check();
    groups.values().forEach(group -> group.onPicks(host, picks, now));
  }

  @Override
  public void onMap(String host, RankEngine.HeldMap map) {
    confinement.check();
    // Stored by host, since an agent sends a map once, possibly before its first report says which
    // group it belongs to.
    heldByHost.put(host, map);
  }

  private Optional<Target> engineAt(String host) {
    return targets.atHost(host).stream()
        .map(TargetDirectory.ListedTarget::target)
        .filter(target -> profile(target).isPresent())
        .findFirst();
  }

  /**
   * Returns the shortest of the pauses that the routes to a service allow. Computed once for each
   * configuration: groups ask each time they may plan a map, and there may be thousands of routes.
   */
  private long pauseObjectiveMillis(String service) {
    long version = configuration.get().map(ServingConfiguration::version).orElse(NO_VERSION);
    if (version != pausesConfigurationVersion) {
      pausesConfigurationVersion = version;
      pauseByService.clear();
    }
    return pauseByService.computeIfAbsent(service, this::shortestOfRoutes);
  }

  private long shortestOfRoutes(String service) {
    return configuration.get().stream()
        .flatMap(each -> each.routesByHost().values().stream())
        .flatMap(List::stream)
        .filter(route -> route.pauseObjectiveMillis() > 0)
        .filter(
            route ->
                route.destinations().stream()
                    .anyMatch(destination -> destination.service().equals(service)))
        .mapToLong(Route::pauseObjectiveMillis)
        .min()
        .orElse(DEFAULT_PAUSE_MILLIS);
  }

  private Optional<EngineProfile> profile(Target target) {
    return configuration
        .get()
        .map(each -> each.services().get(target.service()))
        .flatMap(Service::engine);
  }
}
