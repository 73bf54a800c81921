package dev.ibishub.engines;

import java.util.List;

/**
 * What an engine has loaded.
 *
 * @param engineStart drawn anew at each start of the engine, so that lost memory shows
 * @param served names as {@code model}, {@code model@version} and {@code model+adapter}
 * @param role the engine's role
 * @param checksFencing whether it refuses orders with an old fencing token
 * @param highestFencingToken the highest seen, 0 where it keeps none
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
