package dev.ibishub.engines;

/**
 * An order to an engine.
 *
 * @param orderId unique name; an engine that has done it answers with its state
 * @param kind what to do
 * @param fencingToken number of whoever gives the order
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
  /** What an order asks for. */
  public enum Kind {
    LOAD,
    UNLOAD,
    CHANGE_ROLE
  }
}
