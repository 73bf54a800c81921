package dev.ibishub.core;

import java.time.Instant;
import java.util.Objects;

/**
 * One item of work in a target's {@link FairQueue}.
 *
 * @param id id, unique among the waiting work; a second offer of the same id is refused
 * @param workspace workspace to which the work is charged
 * @param weight share of the workspace relative to others, above zero
 * @param priority order within the workspace, higher first
 * @param estimatedTokens expected cost in tokens, zero or more
 * @param deadline time from which the work is no longer started
 * @param item the caller's own object for this work
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
