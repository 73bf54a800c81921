package dev.ibishub.agent;

import dev.ibishub.core.ClaimLedgerOptions;
import java.time.Duration;

/**
 * How a {@link ClaimWriter} uses the log.
 *
 * @param buckets the number of streams that the keys are hashed to; must be the same at every agent
 * @param ledger the options of each bucket's ledger
 * @param maximumBatch the maximum number of claims in one append
 * @param appendInterval the minimum time between two appends of a bucket
 * @param confirmationTimeout how long a claim waits for confirmation by the log before it is
 *     refused; also the time after which a refused caller may retry
 * @param longPoll how long a read waits for a record
 * @param readBackoff the delay before the next read after a failed one
 */
public record ClaimWriterOptions(
    int buckets,
    ClaimLedgerOptions ledger,
    int maximumBatch,
    Duration appendInterval,
    Duration confirmationTimeout,
    Duration longPoll,
    Duration readBackoff) {
  /** Checks that the counts are positive. */
  public ClaimWriterOptions {
    if (buckets < 1 || maximumBatch < 1) {
      throw new IllegalArgumentException("buckets and maximumBatch must be positive");
    }
  }

  /** Returns the defaults: 1 bucket, 500 claims per append, 50 appends per second, 2 s timeout. */
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
