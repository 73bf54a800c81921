package dev.ibishub.agent;

import dev.ibishub.core.ClaimLedgerOptions;
import java.time.Duration;

/**
 * How a {@link ClaimWriter} uses the log.
 *
 * @param buckets how many streams the keys are spread over, the same at every agent
 * @param ledger bounds of each bucket's ledger
 * @param maximumBatch the most claims in one append
 * @param appendInterval the least time between two appends of a bucket
 * @param patience how long a claim waits for the log before it is refused
 * @param longPoll how long a read waits for a record
 * @param readBackoff how long to wait after a failed read
 */
public record ClaimWriterOptions(
    int buckets,
    ClaimLedgerOptions ledger,
    int maximumBatch,
    Duration appendInterval,
    Duration patience,
    Duration longPoll,
    Duration readBackoff) {
  /** Checks the bounds. */
  public ClaimWriterOptions {
    if (buckets < 1 || maximumBatch < 1) {
      throw new IllegalArgumentException("buckets and maximumBatch must be positive");
    }
  }

  /** Returns one bucket, 500 claims an append, at most 50 appends a second, 2 s of patience. */
  public static ClaimWriterOptions defaults() {
    return new ClaimWriterOptions(
        1,
        ClaimLedgerOptions.defaults(),
        500,
        Duration.ofMillis(20),
        Duration.ofSeconds(2),
        Duration.ofSeconds(10),
        Duration.ofMillis(200));
  }
}
