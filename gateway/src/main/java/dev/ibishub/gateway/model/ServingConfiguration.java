package dev.ibishub.gateway.model;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * One version of the configuration that the operators publish. Used on the users' platform; behind
 * ibishub's own interface, {@code dev.ibishub.core.Configuration} takes this role.
 *
 * @param version version number; later versions have higher numbers
 * @param routesByHost the routes of each host, longest path prefix first
 * @param services the services by name
 * @param workspacesByKey the workspace of each key; empty if no keys are used
 * @param usesKeys whether callers have to present keys
 * @param limits limits for callers' requests and connections
 */
public record ServingConfiguration(
    long version,
    Map<String, List<Route>> routesByHost,
    Map<String, Service> services,
    Map<String, Workspace> workspacesByKey,
    boolean usesKeys,
    CallerLimits limits) {

  /**
   * Creates a configuration and indexes its routes by host.
   *
   * @param routes all routes, in any order
   */
  public static ServingConfiguration of(
      long version,
      List<Route> routes,
      Map<String, Service> services,
      Map<String, Workspace> workspacesByKey,
      boolean usesKeys,
      CallerLimits limits) {
    Map<String, List<Route>> byHost =
        routes.stream()
            .sorted(Comparator.comparingInt(route -> -route.pathPrefix().length()))
            .collect(Collectors.groupingBy(Route::host));
    return new ServingConfiguration(
        version, byHost, Map.copyOf(services), Map.copyOf(workspacesByKey), usesKeys, limits);
  }

  /** Finds the route for a request: the one of its host with the longest matching path prefix. */
  public Optional<Route> route(String host, String path) {
    return routesByHost.getOrDefault(host, List.of()).stream()
        .filter(route -> path.startsWith(route.pathPrefix()))
        .findFirst();
  }

  /** Returns the names of all services, including those that only routes name. */
  public Set<String> serviceNames() {
    return Stream.concat(
            services.keySet().stream(),
            routesByHost.values().stream()
                .flatMap(List::stream)
                .flatMap(route -> route.destinations().stream())
                .map(Route.Destination::service))
        .collect(Collectors.toUnmodifiableSet());
  }

  /** Finds the workspace of a key. */
  public Optional<Workspace> workspace(String key) {
    return Optional.ofNullable(workspacesByKey.get(key));
  }
}
