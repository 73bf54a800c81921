package dev.ibishub.gateway.records;

import java.util.List;

/**
 * What a read of a keyed log returned.
 *
 * @param from the offset that the read began at; 0 for the newest record of every key
 * @param end the offset after the last record that the batch accounts for
 * @param isWhole whether this is the newest record of every key, so that other keys don't exist
 * @param records the records in the order of their offsets
 */
public record RecordBatch(long from, long end, boolean isWhole, List<KeyedRecord> records) {
  /** Copies the records. */
  public RecordBatch {
    records = List.copyOf(records);
  }
}
