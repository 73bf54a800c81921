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

/** What the configuration in force says of one request: where it goes, or why it doesn't. */
sealed interface Routing {
  /**
   * A request that may go to a service.
   *
   * @param configurationVersion the configuration that says so
   * @param route its route
   * @param service the service that was drawn among the route's destinations
   * @param workspace the workspace whose key it shows
   * @param engine the figures of the service's engines, where it has any
   * @param deadline when its answer has to be complete, on the monotonic clock, milliseconds
   */
  record Routed(
      long configurationVersion,
      Route route,
      String service,
      Optional<Workspace> workspace,
      Optional<EngineProfile> engine,
      long deadline)
      implements Routing {

    RetryRule retryRule() {
      return new RetryRule(route.kind(), route.maximumRuns());
    }

    /** Its rank among the requests that wait at an engine; other services have no order. */
    OptionalInt priority() {
      if (engine.isEmpty()) {
        return OptionalInt.empty();
      }
      OptionalInt own = workspace.map(Workspace::priority).orElse(OptionalInt.empty());
      return OptionalInt.of(own.orElse(route.priority()));
    }
  }

  /**
   * A request that the configuration does not allow.
   *
   * @param configurationVersion the configuration that says so
   */
  record Refused(long configurationVersion, ResultCode code) implements Routing {}

  /**
   * Looks a request up.
   *
   * @param arrivedAt when it was complete, on the monotonic clock, milliseconds
   * @param point a number from 0 to below 1, drawn evenly, for the choice of a destination
   */
  static Routing of(
      ServingConfiguration configuration,
      HttpRequest request,
      CallerRequest caller,
      long arrivedAt,
      double point) {
    Optional<Route> found = route(configuration, request);
    if (found.isEmpty()) {
      return new Refused(configuration.version(), ResultCode.NOT_FOUND);
    }
    Route route = found.get();
    Optional<Workspace> workspace = caller.key().flatMap(configuration::workspace);
    if (route.needsKey() && configuration.usesKeys() && workspace.isEmpty()) {
      return new Refused(configuration.version(), ResultCode.UNAUTHENTICATED);
    }
    String service = route.destination(point);
    long wait = Math.min(route.timeoutMillis(), caller.waitMillis().orElse(Long.MAX_VALUE));
    return new Routed(
        configuration.version(),
        route,
        service,
        workspace,
        Optional.ofNullable(configuration.services().get(service)).flatMap(Service::engine),
        arrivedAt + wait);
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
