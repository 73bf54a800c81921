package dev.ibishub.gateway.front;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * What the head of a target's response says.
 *
 * @param status HTTP status
 * @param notRun whether the target says that it did not run the request
 * @param isSigned whether the target has signed the response; a success without a signature is not
 *     accepted
 * @param attemptId the attempt that it responds to; empty where it doesn't say
 * @param isEncoded whether the body has a content encoding, so that it isn't as the target made it
 * @param isEventStream whether the body is a stream of events
 * @param requestsPerSecond the most requests per second that the target takes from all entries
 *     together; empty where it names no limit
 * @param backOffMillis how long the target wants no requests from this entry, milliseconds; empty
 *     unless it refuses a request and says so
 * @param isLeaving whether the target says that it is leaving, that is, about to stop
 * @param coldRemainingMillis how much longer the target says that it is cold, milliseconds; empty
 *     where it doesn't say
 */
public record TargetResponse(
    int status,
    boolean notRun,
    boolean isSigned,
    Optional<String> attemptId,
    boolean isEncoded,
    boolean isEventStream,
    OptionalDouble requestsPerSecond,
    OptionalLong backOffMillis,
    boolean isLeaving,
    OptionalLong coldRemainingMillis) {
  /** Whether the status is a 2xx. */
  public boolean isSuccess() {
    return status >= 200 && status < 300;
  }
}
