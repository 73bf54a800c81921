package dev.ibishub.engines;

/**
 * An order to an engine to change what it has loaded or its role.
 *
 * @param orderId the unique id; an engine that has already carried the order out only returns its
 *     state
 * @param kind the action
 * @param fencingToken the fencing token of the sender
 * @param model the model concerned, or empty
 * @param adapter the adapter concerned, or empty
 * @param version the version concerned, or empty
 * @param role the new role for {@link Kind#CHANGE_ROLE}, else empty
 */
public record EngineOrder(
    String orderId,
    Kind kind,
    long fencingToken,
    String model,
    String adapter,
    String version,
    String role) {
  /** The action that an order requests. */
  public enum Kind {
    LOAD,
    UNLOAD,
    CHANGE_ROLE
  }
}
