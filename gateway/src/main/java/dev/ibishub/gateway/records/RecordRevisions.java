package dev.ibishub.gateway.records;

import java.util.Optional;

/** Reads the revisions that the records of a topic state. Implementations are thread-safe. */
public interface RecordRevisions {
  /** The records of no key state a revision. */
  RecordRevisions NONE =
      new RecordRevisions() {
        @Override
        public boolean areStated(String key) {
          return false;
        }

        @Override
        public Optional<Revision> of(KeyedRecord record) {
          return Optional.empty();
        }
      };

  /** Whether the records of a key state their revisions. */
  boolean areStated(String key);

  /**
   * Returns the revision of a record with a value; empty if it states none or can't be decoded.
   *
   * @param record a record of a key for which {@link #areStated} is true
   */
  Optional<Revision> of(KeyedRecord record);
}
