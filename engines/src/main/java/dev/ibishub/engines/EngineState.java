package dev.ibishub.engines;

import java.util.List;

/**
 * What an engine has loaded, and how far it has carried out orders.
 *
 * @param engineStart a new number drawn at each start of the engine, which reveals a restart with
 *     loss of state
 * @param served what the engine serves, as {@code model}, {@code model@version} and {@code
 *     model+adapter}
 * @param role the engine's role
 * @param checksFencing whether the engine refuses orders with an outdated fencing token
 * @param highestFencingToken the highest fencing token seen, 0 if the engine does not keep it
 * @param lastOrderId the order that took effect last, or empty
 */
public record EngineState(
    long engineStart,
    List<String> served,
    String role,
    boolean checksFencing,
    long highestFencingToken,
    String lastOrderId) {
  public EngineState {
    served = List.copyOf(served);
  }
}
