package dev.ibishub.gateway.records;

import dev.ibishub.core.entries.LogPosition;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * One page of the list of a log's newest records, each page as of the time when it was asked for.
 *
 * @param records the newest records of some keys, in the order of the list
 * @param end exclusive end of the log when the page was made; none of its records is later
 * @param hasMore whether the list goes on after the last key of this page
 */
public record RecordPage(List<KeyedRecord> records, LogPosition end, boolean hasMore) {
  /** Makes an immutable copy of the records. */
  public RecordPage {
    records = List.copyOf(records);
    Objects.requireNonNull(end);
  }

  /** Returns the key after which the list goes on; empty if the page has no record. */
  Optional<String> lastKey() {
    return records.isEmpty()
        ? Optional.empty()
        : Optional.of(records.get(records.size() - 1).key());
  }
}
