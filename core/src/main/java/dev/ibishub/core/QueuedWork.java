package dev.ibishub.core;

import java.time.Instant;
import java.util.Objects;

/**
 * One piece of work that waits at a target.
 *
 * @param id unique among the work that waits; a second offer of the same id is refused
 * @param workspace whose share the work is charged to
 * @param weight share of the workspace against others, above zero
 * @param priority orders work within its workspace only, higher first
 * @param estimatedTokens expected cost, zero or more
 * @param deadline after which the work is not handed out any more
 * @param item what the caller of the queue wants back
 * @param <T> type of the item
 */
public record QueuedWork<T>(
    String id,
    String workspace,
    double weight,
    int priority,
    double estimatedTokens,
    Instant deadline,
    T item) {
  /** Checks the ranges; fails with {@link IllegalArgumentException}. */
  public QueuedWork {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(workspace, "workspace");
    Objects.requireNonNull(deadline, "deadline");
    if (!(weight > 0) || Double.isInfinite(weight)) {
      throw new IllegalArgumentException("weight must be above zero, was " + weight);
    }
    if (!(estimatedTokens >= 0) || Double.isInfinite(estimatedTokens)) {
      throw new IllegalArgumentException("estimatedTokens must be >= 0, was " + estimatedTokens);
    }
  }
}
