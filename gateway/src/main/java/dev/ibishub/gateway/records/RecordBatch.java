package dev.ibishub.gateway.records;

import dev.ibishub.core.entries.LogPosition;
import java.util.List;

/**
 * The result of a read of a keyed log: either a range of records or a snapshot.
 *
 * @param from offset at which the read began, in the epoch of the end; 0 for a snapshot
 * @param end exclusive end position up to which the batch covers the log. A snapshot may hold later
 *     records: of these it has some only, so they are read again
 * @param isSnapshot whether this is a snapshot, that is, the newest record of every key that exists
 * @param records the records in the order of their positions
 */
public record RecordBatch(
    long from, LogPosition end, boolean isSnapshot, List<KeyedRecord> records) {
  /** Makes an immutable copy of the records. */
  public RecordBatch {
    records = List.copyOf(records);
  }

  /** Returns the epoch of the log that was read. */
  public long epoch() {
    return end.epoch();
  }
}
