package dev.ibishub.core;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * The configuration in force at one site: the base with the site's overlay applied. Immutable, so
 * thread-safe. Used behind ibishub's own interface; the platform of its users has a configuration
 * of its own.
 *
 * <p>Example: {@code configuration.workspaceOfKey(sha256).map(Configuration.Workspace::weight)}.
 *
 * @param revision number of the accepted revision, 0 before the first
 * @param site name of the site
 * @param zones names of the site's failure domains
 * @param workspaces workspaces that the site serves, by name
 * @param models models that the site serves, by name
 * @param groups expert-parallel groups, by name
 * @param services plain services, by name
 * @param placements what each target serves, by id of the target
 */
public record Configuration(
    long revision,
    String site,
    List<String> zones,
    Map<String, Workspace> workspaces,
    Map<String, Model> models,
    Map<String, Group> groups,
    Map<String, Service> services,
    Map<String, Placement> placements) {

  /** Copies the collections. */
  public Configuration {
    zones = List.copyOf(zones);
    workspaces = Map.copyOf(workspaces);
    models = Map.copyOf(models);
    groups = Map.copyOf(groups);
    services = Map.copyOf(services);
    placements = Map.copyOf(placements);
  }

  /** Returns the configuration of a site for which nothing was published yet. */
  public static Configuration empty(String site) {
    return new Configuration(0, site, List.of(), Map.of(), Map.of(), Map.of(), Map.of(), Map.of());
  }

  /**
   * Finds the workspace of a caller by a linear search. For a lookup on each request, build an
   * index with {@link #workspacesByKey}.
   *
   * @param keySha256 SHA-256 of the caller's key, 64 lower-case hexadecimal digits
   * @return the workspace, or empty if none has this key
   */
  public Optional<Workspace> workspaceOfKey(String keySha256) {
    return workspaces.values().stream()
        .filter(workspace -> workspace.keySha256().contains(keySha256))
        .findFirst();
  }

  /** Returns an index of the workspaces by the SHA-256 of each of their keys. */
  public Map<String, Workspace> workspacesByKey() {
    return workspaces.values().stream()
        .flatMap(workspace -> workspace.keySha256().stream().map(key -> Map.entry(key, workspace)))
        .collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, Map.Entry::getValue));
  }

  /**
   * Indexes elements by name.
   *
   * @param elements the elements, whose names must be unique
   * @param nameOf returns the name of an element
   * @return the elements by name
   */
  public static <T> Map<String, T> byName(List<T> elements, Function<T, String> nameOf) {
    return elements.stream().collect(Collectors.toUnmodifiableMap(nameOf, Function.identity()));
  }

  /**
   * A customer.
   *
   * @param name unique name
   * @param keySha256 SHA-256 of each key that the customer's callers may use, lower-case
   *     hexadecimal; more than one while a key is rotated
   * @param weight share of the capacity relative to the other workspaces while requests queue
   * @param requestsPerSecond limit on requests per second, over all entries of the site
   * @param tokensPerSecond limit on tokens per second, over all entries of the site
   * @param maximumConcurrent limit on requests in flight, over all entries of the site
   * @param priority priority at the engine, where higher values run first
   */
  public record Workspace(
      String name,
      Set<String> keySha256,
      double weight,
      double requestsPerSecond,
      double tokensPerSecond,
      int maximumConcurrent,
      int priority) {
    public Workspace {
      keySha256 = Set.copyOf(keySha256);
    }
  }

  /**
   * A model.
   *
   * @param name unique name
   * @param versions versions that callers may ask for
   * @param adapters adapters that callers may ask for
   * @param group the group that serves it, or empty if single replicas serve it
   */
  public record Model(
      String name, List<String> versions, List<String> adapters, Optional<String> group) {
    public Model {
      versions = List.copyOf(versions);
      adapters = List.copyOf(adapters);
    }
  }

  /**
   * An expert-parallel group.
   *
   * @param name unique name
   * @param ranks number of ranks
   * @param experts number of experts in each layer
   * @param layers number of layers that have experts
   * @param expertBytes size in bytes of the weights of one expert of one layer
   * @param skewWeight weight of step-time skew when a rebalance of experts is planned
   * @param costWeight weight of the cost of that rebalance
   */
  public record Group(
      String name,
      int ranks,
      int experts,
      int layers,
      long expertBytes,
      double skewWeight,
      double costWeight) {}

  /**
   * A plain service.
   *
   * @param name unique name
   * @param unrepeatableCalls the calls that must run at most once
   */
  public record Service(String name, List<UnrepeatableCall> unrepeatableCalls) {
    public Service {
      unrepeatableCalls = List.copyOf(unrepeatableCalls);
    }

    /**
     * Tells whether a call may be repeated.
     *
     * @param method the HTTP method
     * @param path the part of the path after the service's name, with its leading slash and without
     *     a query
     */
    public boolean mayBeRepeated(String method, String path) {
      return unrepeatableCalls.stream().noneMatch(call -> call.matches(method, path));
    }
  }

  /**
   * A pattern of calls that must run at most once.
   *
   * @param method the HTTP method
   * @param path the path, in which {@code *} matches any text, also an empty one
   * @param expression the path as a regular expression
   */
  public record UnrepeatableCall(String method, String path, Pattern expression) {
    /**
     * Creates a pattern of calls.
     *
     * @param method the HTTP method
     * @param path the path, in which {@code *} matches any text, also an empty one
     */
    public static UnrepeatableCall of(String method, String path) {
      String expression = "\\Q" + path.replace("*", "\\E.*\\Q") + "\\E";
      return new UnrepeatableCall(method, path, Pattern.compile(expression));
    }

    boolean matches(String otherMethod, String otherPath) {
      return method.equals(otherMethod) && expression.matcher(otherPath).matches();
    }
  }

  /**
   * What a target serves.
   *
   * @param target id of the target
   * @param models names of the models that it serves
   * @param versions versions of these models that it has loaded, empty for any
   * @param adapters adapters of these models that it has loaded
   * @param service the plain service that it is an instance of, if any
   */
  public record Placement(
      String target,
      List<String> models,
      List<String> versions,
      List<String> adapters,
      Optional<String> service) {
    /** Copies the lists. */
    public Placement {
      models = List.copyOf(models);
      versions = List.copyOf(versions);
      adapters = List.copyOf(adapters);
    }
  }
}
