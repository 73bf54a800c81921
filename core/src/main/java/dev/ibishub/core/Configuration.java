package dev.ibishub.core;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * The configuration that is in force at one site: the base with the site's overlay laid over it.
 * Immutable, so thread-safe.
 *
 * <p>Example: {@code configuration.workspaceOfKey(sha256).map(Configuration.Workspace::weight)}.
 *
 * @param revision number of the accepted revision, 0 before the first
 * @param site name of the site
 * @param zones failure domains of the site
 * @param workspaces those that the site serves, by name
 * @param models those that the site serves, by name
 * @param groups by name
 * @param services by name
 * @param placements what each target serves, by target
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

  /** Returns the configuration of a site for which nothing has been published. */
  public static Configuration empty(String site) {
    return new Configuration(0, site, List.of(), Map.of(), Map.of(), Map.of(), Map.of(), Map.of());
  }

  /**
   * Finds the workspace of a caller. Build an index with {@link #workspacesByKey} where it is asked
   * for each request.
   *
   * @param keySha256 SHA-256 of the caller's key, 64 lower-case hexadecimal digits
   * @return the workspace, or empty where none has this key
   */
  public Optional<Workspace> workspaceOfKey(String keySha256) {
    return workspaces.values().stream()
        .filter(workspace -> workspace.keySha256().contains(keySha256))
        .findFirst();
  }

  /** Returns the workspaces by the SHA-256 of each of their keys. */
  public Map<String, Workspace> workspacesByKey() {
    return workspaces.values().stream()
        .flatMap(workspace -> workspace.keySha256().stream().map(key -> Map.entry(key, workspace)))
        .collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, Map.Entry::getValue));
  }

  /**
   * Groups named things by name.
   *
   * @param things what to index, each name once
   * @param name tells the name of a thing
   * @return the things by name
   */
  public static <T> Map<String, T> byName(List<T> things, Function<T, String> name) {
    return things.stream().collect(Collectors.toUnmodifiableMap(name, Function.identity()));
  }

  /**
   * A customer.
   *
   * @param name unique name
   * @param keySha256 SHA-256 of each key that the customer's callers may use, lower-case
   *     hexadecimal; several while a key is changed
   * @param weight share of capacity against the other workspaces, when work waits
   * @param requestsPerSecond the most requests a second over all entries of the site
   * @param tokensPerSecond the most tokens a second over all entries of the site
   * @param maximumConcurrent the most requests in flight over all entries of the site
   * @param priority higher runs first at the engine
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
   * @param group the group that serves it, or empty for single replicas
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
   * @param ranks how many ranks it has
   * @param experts how many experts a layer has
   * @param layers how many layers have experts
   * @param expertBytes bytes of the weights of one expert of one layer
   * @param skewWeight what a unit of step-time skew weighs when a move of experts is judged
   * @param costWeight what a unit of rebalancing cost weighs
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
   * @param unrepeatableCalls the calls that run at most once
   */
  public record Service(String name, List<UnrepeatableCall> unrepeatableCalls) {
    public Service {
      unrepeatableCalls = List.copyOf(unrepeatableCalls);
    }

    /**
     * Tells whether a call may be repeated.
     *
     * @param method the HTTP method
     * @param path the path behind the service's name, from the slash on, without a query
     */
    public boolean mayBeRepeated(String method, String path) {
      return unrepeatableCalls.stream().noneMatch(call -> call.matches(method, path));
    }
  }

  /**
   * Calls that run at most once.
   *
   * @param method the HTTP method
   * @param path the path, in which {@code *} stands for any part
   * @param expression the path as a regular expression
   */
  public record UnrepeatableCall(String method, String path, Pattern expression) {
    /**
     * Makes a pattern of calls.
     *
     * @param method the HTTP method
     * @param path the path, in which {@code *} stands for any part, also an empty one
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
   * @param target the target's id
   * @param models names of the models
   * @param versions versions loaded of these, empty for any
   * @param adapters adapters loaded of these
   * @param service the plain service, for targets of one
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
