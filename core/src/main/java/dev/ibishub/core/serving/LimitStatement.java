package dev.ibishub.core.serving;

import java.util.Objects;
import java.util.OptionalDouble;

/**
 * A target's statement, at one moment, of the request rate that it accepts.
 *
 * @param targetIncarnation the target incarnation that made the statement
 * @param requestsPerSecond the rate that it accepts from all entries together, 0 or more; empty if
 *     it sets no limit
 * @param statedAt when it made the statement, on this process's monotonic clock, milliseconds
 */
public record LimitStatement(
    String targetIncarnation, OptionalDouble requestsPerSecond, long statedAt) {
  /** Checks that the limit is neither negative nor NaN. */
  public LimitStatement {
    Objects.requireNonNull(targetIncarnation);
    if (requestsPerSecond.isPresent() && !(requestsPerSecond.getAsDouble() >= 0)) {
      throw new IllegalArgumentException(
          "limit of %s: expected 0 or more requests a second, was %s"
              .formatted(targetIncarnation, requestsPerSecond.getAsDouble()));
    }
  }
}
