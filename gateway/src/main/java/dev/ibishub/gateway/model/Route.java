package dev.ibishub.gateway.model;

import dev.ibishub.core.serving.RequestKind;
import java.util.List;
import java.util.Objects;

/**
 * Which requests go to which service, and how.
 *
 * @param name the route's name
 * @param host the host that requests name
 * @param pathPrefix what their path begins with
 * @param kind what may be done with a request that failed
 * @param timeoutMillis the longest that a caller is kept waiting, milliseconds
 * @param aimMillis the time within which the first piece of an answer is wanted, milliseconds; 0
 *     for none
 * @param longestPauseMillis the longest pause between two pieces of a stream that is wanted,
 *     milliseconds; 0 for none
 * @param priority rank of its requests, 0 first
 * @param destinations the services that share the requests, by weight; not empty
 * @param maximumRuns the most targets at which one request may run
 * @param needsKey whether a caller has to show a workspace's key
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    RequestKind kind,
    long timeoutMillis,
    long aimMillis,
    long longestPauseMillis,
    int priority,
    List<Destination> destinations,
    int maximumRuns,
    boolean needsKey) {

  /**
   * One service of a route.
   *
   * @param service the service's name
   * @param weight its share of the requests against the other destinations' weights
   */
  public record Destination(String service, double weight) {}

  /** Checks the parts that decisions rely on. */
  public Route {
    Objects.requireNonNull(host);
    Objects.requireNonNull(pathPrefix);
    destinations = List.copyOf(destinations);
    if (destinations.isEmpty()) {
      throw new IllegalArgumentException("route " + name + " has no destination");
    }
  }

  /**
   * Chooses the service of one request.
   *
   * @param point a number from 0 to below 1, drawn evenly
   */
  public String destination(double point) {
    double rest = point * destinations.stream().mapToDouble(Destination::weight).sum();
    for (Destination destination : destinations) {
      rest -= destination.weight();
      if (rest < 0) {
        return destination.service();
      }
    }
    return destinations.get(destinations.size() - 1).service();
  }
}
