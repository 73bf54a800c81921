package dev.ibishub.gateway.front;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * What the headers of a caller's request say. Used on the platform of ibishub's users; {@code
 * dev.ibishub.entry.CallerRequest} is the counterpart behind ibishub's own interface.
 *
 * @param attemptId the id that the caller gave this attempt; empty text where it gave none
 * @param waitMillis how long the caller waits for the response, milliseconds
 * @param key the workspace key that the caller shows
 * @param lastEventId the id of the last event of a stream that the caller received
 * @param promptParts ids of the parts of its prompt that other requests may share; empty for a
 *     request without a prompt
 * @param namesTarget whether it names the target that is to run it, as only entries do
 */
public record CallerRequest(
    String attemptId,
    OptionalLong waitMillis,
    Optional<String> key,
    OptionalLong lastEventId,
    List<String> promptParts,
    boolean namesTarget) {
  /** Copies the list of parts. */
  public CallerRequest {
    promptParts = List.copyOf(promptParts);
  }
}
