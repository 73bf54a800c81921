package dev.ibishub.gateway.records;

import dev.ibishub.core.entries.ReadTurns;
import dev.ibishub.runtime.MonotonicClock;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Topic and timing of a {@link RecordFollower}.
 *
 * @param topic name of the log to follow
 * @param turns when each entry reads it; may change at any time
 * @param revisions the order that writers give the records of a key
 * @param rewriteMillis time after the log came back from an older copy within which writers write
 *     their records again, milliseconds. What was known before and is not in the log by then is
 *     deleted
 * @param clock a monotonic clock, milliseconds
 */
public record FollowerOptions(
    String topic,
    Supplier<ReadTurns> turns,
    RecordRevisions revisions,
    long rewriteMillis,
    LongSupplier clock) {
  /** Creates options with the process's monotonic clock. */
  public FollowerOptions(
      String topic, Supplier<ReadTurns> turns, RecordRevisions revisions, long rewriteMillis) {
    this(topic, turns, revisions, rewriteMillis, MonotonicClock::millis);
  }
}
