package dev.ibishub.gateway.experts;

import com.google.common.flogger.FluentLogger;
import dev.ibishub.gateway.front.TargetDirectory;
import dev.ibishub.gateway.model.EngineProfile;
import dev.ibishub.gateway.model.Route;
import dev.ibishub.gateway.model.Service;
import dev.ibishub.gateway.model.ServingConfiguration;
import dev.ibishub.gateway.model.Target;
import dev.ibishub.runtime.LogEvent;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;

/**
 * Keeps the expert maps of all groups fitting to their demand, while this entry leads. Thread-safe
 * by one lock.
 */
public final class ExpertController implements RankLinks.RankListener {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Longest pause of streams where no route states one, milliseconds. */
  private static final long UNSAID_PAUSE_MILLIS = 150;

  private static final long NO_VERSION = -1;

  private final TargetDirectory targets;
  private final Supplier<Optional<ServingConfiguration>> configuration;
  private final Map<String, GroupLead> groups = new HashMap<>();
  private final Map<String, RankEngine.HeldMap> held = new HashMap<>();
  private final RankOrderSender orders;
  private final ClockFencingTokens tokens;
  private final InstantSource clock;
  private final Map<String, Long> pauses = new HashMap<>();
  private long pausesVersion = NO_VERSION;
  private boolean isLeading;

  /**
   * Creates a controller that leads nothing yet.
   *
   * @param orders gives orders to engines
   * @param clock the time of day, for fencing tokens and versions
   */
  public ExpertController(
      TargetDirectory targets,
      Supplier<Optional<ServingConfiguration>> configuration,
      RankOrderSender orders,
      InstantSource clock) {
    this.targets = targets;
    this.configuration = configuration;
    this.orders = orders;
    this.clock = clock;
    this.tokens = new ClockFencingTokens(clock, ThreadLocalRandom.current().nextLong());
  }

  /**
   * Does what is due. To be called often.
   *
   * @param leads whether this entry is to lead
   */
  public synchronized void tick(boolean leads, long now) {
    if (leads != isLeading) {
      isLeading = leads;
      groups.clear();
      logger.atInfo().log("%s", LogEvent.of(leads ? "lead.taken" : "lead.given_up"));
    }
    if (leads) {
      List.copyOf(groups.values()).forEach(group -> group.tick(now));
    }
  }

  /** Whether the counts of the rank at a host are needed. */
  public synchronized boolean wantsPicks(String host) {
    return groups.values().stream().allMatch(group -> group.wantsPicks(host));
  }

  @Override
  public synchronized void onState(String host, RankState state, long now) {
    if (!isLeading || state.membership().isEmpty()) {
      return;
    }
    RankState.Membership place = state.membership().get();
    Optional<Target> target = engineAt(host);
    Optional<EngineProfile> profile = target.flatMap(this::profile);
    if (target.isEmpty() || profile.isEmpty() || !profile.get().hasExperts()) {
      return;
    }
    GroupLead known = groups.get(place.group());
    // A group that was found under an older configuration would be led by what that said of its
    // engines: with fewer experts than there are, its counts fit no demand and no map is ever made.
    if (known == null || !known.isFor(place.size(), profile.get())) {
      known =
          new GroupLead(
              place.group(),
              place.size(),
              profile.get(),
              () -> longestPauseMillis(target.get().service()),
              orders,
              tokens,
              clock,
              held,
              this);
      groups.put(place.group(), known);
      logger.atInfo().log(
          "%s",
          LogEvent.of("group.found")
              .with("group", place.group())
              .with("ranks", place.size())
              .with("epoch", place.epoch())
              .with("map", place.mapVersion()));
    }
    known.onPlace(target.get(), state.slowdown(), place, now);
  }

  @Override
  public synchronized void onPicks(String host, RankEngine.Picks picks, long now) {
    groups.values().forEach(group -> group.onPicks(host, picks, now));
  }

  @Override
  public synchronized void onMap(String host, RankEngine.HeldMap map) {
    // Kept by host: an agent tells a map once, and may do so before its first report says which
    // group it belongs to.
    held.put(host, map);
  }

  private Optional<Target> engineAt(String host) {
    return targets.atHost(host).stream()
        .map(TargetDirectory.Known::target)
        .filter(target -> profile(target).isPresent())
        .findFirst();
  }

  /**
   * The shortest of the pauses that the routes to a service allow, worked out once a configuration:
   * groups ask for it each time that they may make a map, and there may be thousands of routes.
   */
  private long longestPauseMillis(String service) {
    long version = configuration.get().map(ServingConfiguration::version).orElse(NO_VERSION);
    if (version != pausesVersion) {
      pausesVersion = version;
      pauses.clear();
    }
    return pauses.computeIfAbsent(service, this::shortestOfRoutes);
  }

  private long shortestOfRoutes(String service) {
    return configuration.get().stream()
        .flatMap(each -> each.routesByHost().values().stream())
        .flatMap(List::stream)
        .filter(route -> route.longestPauseMillis() > 0)
        .filter(
            route ->
                route.destinations().stream()
                    .anyMatch(destination -> destination.service().equals(service)))
        .mapToLong(Route::longestPauseMillis)
        .min()
        .orElse(UNSAID_PAUSE_MILLIS);
  }

  private Optional<EngineProfile> profile(Target target) {
    return configuration
        .get()
        .map(each -> each.services().get(target.service()))
        .flatMap(Service::engine);
  }
}
