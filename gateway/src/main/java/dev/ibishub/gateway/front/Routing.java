package dev.ibishub.gateway.front;

import dev.ibishub.core.ResultCode;
import dev.ibishub.core.serving.RetryRule;
import dev.ibishub.gateway.model.EngineProfile;
import dev.ibishub.gateway.model.Route;
import dev.ibishub.gateway.model.Service;
import dev.ibishub.gateway.model.ServingConfiguration;
import dev.ibishub.gateway.model.Workspace;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * Result of looking up a request in the configuration: the service that it goes to, or why it is
 * refused.
 */
sealed interface Routing {
  /**
   * A request that may go to a service.
   *
   * @param configurationVersion version of the configuration that was used
   * @param route its route
   * @param service the service that was chosen among the route's destinations
   * @param workspace the workspace that the caller's key belongs to; empty without a known key
   * @param engine the figures of the service's engines; empty for a service without any
   * @param deadline when its response has to be complete, on the monotonic clock, milliseconds
   */
  record Routed(
      long configurationVersion,
      Route route,
      String service,
      Optional<Workspace> workspace,
      Optional<EngineProfile> engine,
      long deadline)
      implements Routing {

    /**
     * Number of route priorities that are told apart within one priority of a workspace. Engines
     * know ten priorities, which leaves room for three of workspaces.
     */
    private static final int ROUTE_PRIORITIES = 3;

    RetryRule retryRule() {
      return new RetryRule(route.kind(), route.maximumRuns());
    }

    /**
     * Returns its priority among the requests that wait for an engine, 0 first; empty for a service
     * without engines, as such a service has no order. The priority of the workspace goes first,
     * that of the route decides between requests of equal workspaces: otherwise the urgent routes
     * of all workspaces with the same priority would have no precedence over the others.
     */
    OptionalInt priority() {
      if (engine.isEmpty()) {
        return OptionalInt.empty();
      }
      OptionalInt own = workspace.map(Workspace::priority).orElse(OptionalInt.empty());
      int routeRank = Math.max(0, Math.min(ROUTE_PRIORITIES - 1, route.priority()));
      return OptionalInt.of(own.orElse(route.priority()) * ROUTE_PRIORITIES + routeRank);
    }
  }

  /**
   * A request that the configuration does not allow.
   *
   * @param configurationVersion version of the configuration that was used
   * @param code the reason
   */
  record Refused(long configurationVersion, ResultCode code) implements Routing {}

  /**
   * Looks up a request.
   *
   * @param arrivedAt when it was complete, on the monotonic clock, milliseconds
   * @param random a uniformly distributed random number from 0 to below 1, by which the service is
   *     chosen
   */
  static Routing of(
      ServingConfiguration configuration,
      HttpRequest request,
      CallerRequest caller,
      long arrivedAt,
      double random) {
    Optional<Route> matchingRoute = route(configuration, request);
    if (matchingRoute.isEmpty()) {
      return new Refused(configuration.version(), ResultCode.NOT_FOUND);
    }
    Route route = matchingRoute.get();
    Optional<Workspace> workspace = caller.key().flatMap(configuration::workspace);
    if (route.needsKey() && configuration.usesKeys() && workspace.isEmpty()) {
      return new Refused(configuration.version(), ResultCode.UNAUTHENTICATED);
    }
    String service = route.chooseService(random);
    long waitMillis = Math.min(route.timeoutMillis(), caller.waitMillis().orElse(Long.MAX_VALUE));
    return new Routed(
        configuration.version(),
        route,
        service,
        workspace,
        Optional.ofNullable(configuration.services().get(service)).flatMap(Service::engine),
        arrivedAt + waitMillis);
  }

  private static Optional<Route> route(ServingConfiguration configuration, HttpRequest request) {
    String host = request.headers().get(HttpHeaderNames.HOST, "");
    int query = request.uri().indexOf('?');
    String path = query < 0 ? request.uri() : request.uri().substring(0, query);
    int port = host.lastIndexOf(':');
    return configuration
        .route(host, path)
        .or(() -> port < 0 ? Optional.empty() : configuration.route(host.substring(0, port), path));
  }
}
