package dev.ibishub.gateway.front;

import dev.ibishub.core.serving.admission.EngineTiming;
import dev.ibishub.gateway.model.Route;
import dev.ibishub.gateway.model.Service;
import dev.ibishub.gateway.model.ServingConfiguration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * The services whose requests are subject to admission by one configuration. Immutable.
 *
 * @param version the version of the configuration
 * @param timings the timing of these services' engines, by service
 */
record AdmissionScope(long version, Map<String, EngineTiming> timings) {
  /** Ratio of two latency objectives from which they count as different. */
  private static final double DIFFERENT_OBJECTIVES = 1.1;

  static AdmissionScope of(ServingConfiguration configuration, AdmissionMode mode) {
    Map<String, EngineTiming> timings =
        configuration.services().values().stream()
            .filter(service -> isSubject(service, routesTo(configuration, service), mode))
            .collect(
                Collectors.toMap(
                    Service::name,
                    service -> statedTiming(service, routesTo(configuration, service))));
    return new AdmissionScope(configuration.version(), timings);
  }

  /** Returns the timing of a service's engines; empty for a service not subject to admission. */
  Optional<EngineTiming> timing(String service) {
    return Optional.ofNullable(timings.get(service));
  }

  private static boolean isSubject(Service service, List<Route> routes, AdmissionMode mode) {
    boolean hasTiming = service.engine().map(engine -> engine.statesPassTime()).orElse(false);
    return switch (mode) {
      case AUTOMATIC, QUEUE -> hasTiming && areDifferent(routes);
      case ON -> hasTiming;
      case OFF -> false;
    };
  }

  private static boolean areDifferent(List<Route> routes) {
    long priorities = routes.stream().mapToInt(Route::priority).distinct().count();
    long shortest = shortestPositive(routes, Route::latencyObjectiveMillis);
    long longest = routes.stream().mapToLong(Route::latencyObjectiveMillis).max().orElse(0);
    return priorities > 1 || (shortest > 0 && longest > DIFFERENT_OBJECTIVES * shortest);
  }

  private static EngineTiming statedTiming(Service service, List<Route> routes) {
    return service
        .engine()
        .orElseThrow()
        .timing(shortestPositive(routes, Route::pauseObjectiveMillis));
  }

  private static long shortestPositive(List<Route> routes, Function<Route, Long> value) {
    return routes.stream().mapToLong(value::apply).filter(each -> each > 0).min().orElse(0);
  }

  private static List<Route> routesTo(ServingConfiguration configuration, Service service) {
    return configuration.routesByHost().values().stream()
        .flatMap(Collection::stream)
        .filter(
            route ->
                route.destinations().stream()
                    .anyMatch(each -> each.service().equals(service.name())))
        .toList();
  }
}
