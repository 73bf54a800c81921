package dev.ibishub.gateway.model;

import dev.ibishub.core.serving.RequestKind;
import java.util.List;
import java.util.Objects;

/**
 * A rule that assigns requests to services and says how they are handled.
 *
 * @param name name of the route
 * @param host host name to which its requests are addressed
 * @param pathPrefix prefix of their paths
 * @param kind how a failed request may be retried
 * @param timeoutMillis maximum time that a caller is kept waiting, milliseconds
 * @param latencyObjectiveMillis latency objective for the first piece of an answer, milliseconds; 0
 *     for none
 * @param pauseObjectiveMillis objective for the longest pause between two pieces of a stream,
 *     milliseconds; 0 for none
 * @param priority priority of its requests, 0 being the highest
 * @param destinations services among which the requests are split by weight; not empty
 * @param maximumRuns maximum number of targets that may run one request
 * @param needsKey whether callers have to present a workspace's key
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    RequestKind kind,
    long timeoutMillis,
    long latencyObjectiveMillis,
    long pauseObjectiveMillis,
    int priority,
    List<Destination> destinations,
    int maximumRuns,
    boolean needsKey) {

  /**
   * A service that gets a share of a route's requests.
   *
   * @param service name of the service
   * @param weight its share of the requests relative to the route's other destinations
   */
  public record Destination(String service, double weight) {}

  /** Checks the host, path prefix and destinations, which routing relies on. */
  public Route {
    Objects.requireNonNull(host);
    Objects.requireNonNull(pathPrefix);
    destinations = List.copyOf(destinations);
    if (destinations.isEmpty()) {
      throw new IllegalArgumentException("route " + name + " has no destination");
    }
  }

  /**
   * Chooses the service for a request by weight.
   *
   * @param point uniformly random number in [0, 1)
   * @return the name of the chosen service
   */
  public String chooseService(double point) {
    double remainingWeight = point * destinations.stream().mapToDouble(Destination::weight).sum();
    for (Destination destination : destinations) {
      remainingWeight -= destination.weight();
      if (remainingWeight < 0) {
        return destination.service();
      }
    }
    return destinations.get(destinations.size() - 1).service();
  }
}
