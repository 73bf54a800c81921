package dev.ibishub.gateway.model;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * One version of what the operators publish.
 *
 * @param version its number; later versions have higher ones
 * @param routesByHost the routes of each host, longest prefix first
 * @param services the services by name
 * @param workspacesByKey the workspace that each key belongs to; empty where no keys are used
 * @param usesKeys whether callers have to show keys
 * @param limits what a caller may send
 */
public record ServingConfiguration(
    long version,
    Map<String, List<Route>> routesByHost,
    Map<String, Service> services,
    Map<String, Workspace> workspacesByKey,
    boolean usesKeys,
    CallerLimits limits) {

  /**
   * Creates a configuration of its parts.
   *
   * @param routes the routes in any order
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

  /** Finds the route of a request: the longest prefix of the host that begins the path. */
  public Optional<Route> route(String host, String path) {
    return routesByHost.getOrDefault(host, List.of()).stream()
        .filter(route -> path.startsWith(route.pathPrefix()))
        .findFirst();
  }

  /** Finds the workspace that a key belongs to. */
  public Optional<Workspace> workspace(String key) {
    return Optional.ofNullable(workspacesByKey.get(key));
  }
}
