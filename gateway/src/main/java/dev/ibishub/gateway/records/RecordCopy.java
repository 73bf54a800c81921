package dev.ibishub.gateway.records;

import com.google.common.flogger.FluentLogger;
import dev.ibishub.core.entries.LogPosition;
import dev.ibishub.runtime.LogEvent;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * A local copy of the newest record of each key of a log that may come back from an older copy of
 * itself. Not thread-safe.
 *
 * <p>Within one epoch of the log, offsets order the records. Across epochs they don't: a log that
 * came back holds older records again and lacks the latest ones, until their writers have written
 * them again. So what this copy holds from an earlier epoch is kept:
 *
 * <ul>
 *   <li>Where records state a {@link Revision}, it is replaced by a record with at least the same
 *       revision, or by a tombstone that was written since.
 *   <li>Other keys are replaced by any record but one that this copy already had replaced before.
 *   <li>By the deadline for writing again, keys that the log lacks are deleted, and the log's
 *       records of keys without revisions count.
 * </ul>
 */
final class RecordCopy {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final LogPosition NOTHING_READ = new LogPosition(LogPosition.UNSTATED_EPOCH, -1);

  private static final long NEVER = Long.MAX_VALUE;

  private final FollowerOptions options;
  private final Consumer<KeyedRecord> onChange;
  private final Map<String, KeyedRecord> newest = new HashMap<>();

  /** Records of the present epoch that don't replace what is known from an earlier one. */
  private final Map<String, KeyedRecord> withheld = new HashMap<>();

  private final ReplacedRecords replaced = new ReplacedRecords();
  private LogPosition end = NOTHING_READ;

  /** Records of the present epoch from this offset on were certainly written in it. */
  private long certainFrom;

  /**
   * Records of the present epoch before this offset were certainly in the copy that the log came
   * back from; 0 if that is not known of any.
   */
  private long copiedUntil;

  private final EarlierEnds earlierEnds = new EarlierEnds();

  /** Until when keys that are unknown here may have been lost with an earlier epoch. */
  private long rewrittenBy;

  /** When what is held from earlier epochs is compared with the log; NEVER if nothing is. */
  private long reconcileAt = NEVER;

  private long changes;

  /**
   * Creates an empty copy.
   *
   * @param onChange called with each record that replaces another one or is the first of its key;
   *     its position is no lower than that of the record that it replaces
   */
  RecordCopy(FollowerOptions options, Consumer<KeyedRecord> onChange) {
    this.options = options;
    this.onChange = onChange;
  }

  /** Whether any batch has been applied. */
  boolean isKnown() {
    return !end.equals(NOTHING_READ);
  }

  /** Returns the exclusive end of what is known of the log; before all records at first. */
  LogPosition end() {
    return end;
  }

  /** Returns a number that rises whenever a record is replaced. */
  long changes() {
    return changes;
  }

  /** Returns the newest record of a key, which may be a tombstone; empty if there is none. */
  Optional<KeyedRecord> newest(String key) {
    return Optional.ofNullable(newest.get(key));
  }

  /** Returns the newest record of each key, tombstones included, as one batch. */
  RecordBatch snapshot() {
    return new RecordBatch(0, end, true, List.copyOf(newest.values()));
  }

  /** Whether a batch neither leaves a gap nor is older than this copy. */
  boolean isApplicable(RecordBatch batch) {
    return batch.isSnapshot()
        ? !batch.end().isBefore(end)
        : isKnown() && batch.epoch() == end.epoch() && batch.from() <= end.offset();
  }

  /**
   * Applies a batch that {@link #isApplicable}.
   *
   * @param now current time of the monotonic clock, milliseconds
   */
  void apply(RecordBatch batch, long now) {
    LogPosition before = end;
    if (!isKnown() || batch.epoch() > end.epoch()) {
      withheld.clear();
      certainFrom = batch.end().offset();
      copiedUntil = Math.max(knownUntil(batch), earlierEnds.inEachCopy());
      earlierEnds.onReturn();
      rewrittenBy = now + options.rewriteMillis();
      reconcileAt = NEVER;
    }
    if (batch.end().isAfter(end)) {
      end = batch.end();
    }
    earlierEnds.add(end.offset(), now);
    // Records beyond a snapshot's end were written since, so they are no part of a copy.
    batch.records().stream()
        .filter(record -> batch.isSnapshot() || !isOfDeletedKey(record, before))
        .forEach(record -> offer(record, batch.isSnapshot() && isBeforeEnd(record, batch), now));
    if (batch.isSnapshot()) {
      deleteMissing(batch, now);
    }
    if (!before.equals(NOTHING_READ) && batch.epoch() > before.epoch()) {
      logReturn(batch, before);
    }
  }

  /**
   * Whether a record read in order is older than this copy, which doesn't have its key: the key was
   * deleted before the snapshot that the copy began with, and no tombstone tells so.
   */
  private boolean isOfDeletedKey(KeyedRecord record, LogPosition endBefore) {
    return record.position().epoch() == endBefore.epoch()
        && record.position().isBefore(endBefore)
        && !newest.containsKey(record.key());
  }

  private static boolean isBeforeEnd(KeyedRecord record, RecordBatch batch) {
    return record.position().isBefore(batch.end());
  }

  /** Returns the end of those records of a batch that were known before. */
  private long knownUntil(RecordBatch batch) {
    return batch.records().stream()
        .filter(record -> isBeforeEnd(record, batch))
        .filter(
            record ->
                newest(record.key())
                        .filter(known -> ReplacedRecords.areSame(known, record))
                        .isPresent()
                    || replaced.contains(record))
        .mapToLong(record -> record.position().offset() + 1)
        .max()
        .orElse(0);
  }

  /**
   * Returns the offset from which on the log may hold tombstones of keys that its snapshot lacks.
   * These may have been written between the log's return and the snapshot; otherwise the keys were
   * lost. Empty if no key is missing, or nothing is known of the copy.
   */
  OptionalLong deletionsFrom() {
    boolean mayHoldSome = copiedUntil > 0 && copiedUntil < certainFrom && !lost().isEmpty();
    return mayHoldSome ? OptionalLong.of(copiedUntil) : OptionalLong.empty();
  }

  /**
   * Returns the deletions of missing keys among the records from {@link #deletionsFrom} on, as a
   * batch that is applicable to each copy of the same epoch; empty if there is none.
   */
  Optional<RecordBatch> deletions(RecordBatch range) {
    if (range.epoch() != end.epoch()) {
      return Optional.empty();
    }
    Set<String> lostKeys = lost().stream().map(KeyedRecord::key).collect(Collectors.toSet());
    List<KeyedRecord> tombstones =
        range.records().stream()
            .filter(record -> record.isTombstone() && lostKeys.contains(record.key()))
            .filter(record -> !replaced.contains(record))
            .toList();
    return tombstones.isEmpty()
        ? Optional.empty()
        : Optional.of(new RecordBatch(end.offset(), end, false, tombstones));
  }

  /** Returns the records of earlier epochs whose keys the log lacks. */
  private List<KeyedRecord> lost() {
    return recordsOfEarlierEpochs().stream()
        .filter(record -> !record.isTombstone() && !withheld.containsKey(record.key()))
        .toList();
  }

  /**
   * Takes from another entry's snapshot, which ends before this copy, what that entry holds from an
   * earlier epoch of the log, and deletions of what this copy does.
   *
   * @param now current time of the monotonic clock, milliseconds
   */
  void applyCarriedOver(RecordBatch snapshot, long now) {
    snapshot.records().stream()
        .filter(record -> isOfEarlierEpoch(record) || deletesLost(record))
        .filter(record -> newest.containsKey(record.key()) || now < rewrittenBy)
        .forEach(record -> offer(record, true, now));
  }

  private boolean deletesLost(KeyedRecord record) {
    return record.isTombstone() && newest(record.key()).filter(this::isOfEarlierEpoch).isPresent();
  }

  /**
   * Compares what is held from earlier epochs with the log, once the time for writing records again
   * is over. To be called after each batch, so that what was written within that time is known.
   *
   * @param now current time of the monotonic clock, milliseconds
   */
  void reconcile(long now) {
    if (now < reconcileAt) {
      return;
    }
    reconcileAt = NEVER;
    List<KeyedRecord> earlier = recordsOfEarlierEpochs();
    List<KeyedRecord> missing = lost();
    missing.forEach(this::forget);
    earlier.stream()
        .filter(record -> !options.revisions().areStated(record.key()))
        .filter(record -> withheld.containsKey(record.key()))
        .forEach(record -> replace(record, withheld.get(record.key())));
    logger.atInfo().log(
        "%s",
        LogEvent.of("store.reconciled")
            .with("topic", options.topic())
            .with("epoch", end.epoch())
            .with("kept", earlier.size())
            .with("missing", missing.size()));
  }

  private void logReturn(RecordBatch batch, LogPosition before) {
    logger.atWarning().log(
        "%s",
        LogEvent.of("store.returned")
            .with("topic", options.topic())
            .with("epoch", batch.epoch())
            .with("end", batch.end().offset())
            .with("epoch_before", before.epoch())
            .with("end_before", before.offset())
            .with("records", batch.records().size())
            .with("kept", recordsOfEarlierEpochs().size())
            .with("withheld", withheld.size()));
  }

  private List<KeyedRecord> recordsOfEarlierEpochs() {
    return newest.values().stream().filter(this::isOfEarlierEpoch).toList();
  }

  private boolean isOfEarlierEpoch(KeyedRecord record) {
    return record.position().epoch() < end.epoch();
  }

  private void offer(KeyedRecord record, boolean isFromSnapshot, long now) {
    KeyedRecord known = newest.get(record.key());
    if (known == null || replaces(record, known, isFromSnapshot)) {
      replace(known, record);
      if (known != null && isOfEarlierEpoch(record) && !isOfEarlierEpoch(known)) {
        withheld.put(known.key(), known);
      }
    } else if (isOfEarlierEpoch(known) && !isOfEarlierEpoch(record)) {
      withheld.put(record.key(), record);
    }
    if (isOfEarlierEpoch(newest.get(record.key()))) {
      awaitRewrite(now);
    }
  }

  private void awaitRewrite(long now) {
    reconcileAt = Math.min(reconcileAt, now + options.rewriteMillis());
  }

  /** Whether a record is later than the known one of its key, by the rules of this class. */
  private boolean replaces(KeyedRecord record, KeyedRecord known, boolean isFromSnapshot) {
    long epoch = record.position().epoch();
    long knownEpoch = known.position().epoch();
    if (epoch == knownEpoch) {
      return record.position().isAfter(known.position());
    }
    if (epoch > knownEpoch && record.isTombstone()) {
      // A copy's tombstones are in no snapshot, so this one was written since the return.
      return true;
    }
    Optional<Revision> revision = revision(record);
    Optional<Revision> knownRevision = revision(known);
    if (revision.isPresent() && knownRevision.isPresent()) {
      int order = revision.get().compareTo(knownRevision.get());
      if (known.isTombstone() && !record.isTombstone()) {
        return order > 0 && (!isFromSnapshot || isAliveAgain(record, revision.get(), known));
      }
      return order > 0 || (order == 0 && (record.isTombstone() || epoch > knownEpoch));
    }
    if (epoch > knownEpoch) {
      // Records that are read in order follow the first snapshot, so they are no part of the copy.
      return !isFromSnapshot || !replaced.contains(record);
    }
    boolean mayPrecedeReturn = known.position().offset() < certainFrom;
    return mayPrecedeReturn && !replaced.contains(record);
  }

  /**
   * Whether a record of a snapshot shows that the writer of a deleted key writes again. The copy
   * that the log came back from may hold a higher revision than the one that is known as deleted,
   * as entries don't get renewals from each other.
   */
  private boolean isAliveAgain(KeyedRecord record, Revision revision, KeyedRecord tombstone) {
    boolean hasRestarted =
        tombstone.deleted().filter(old -> revision.incarnation() > old.incarnation()).isPresent();
    boolean hasWrittenInEpoch =
        Optional.ofNullable(withheld.get(record.key()))
            .flatMap(this::revision)
            .filter(old -> revision.compareTo(old) > 0)
            .isPresent();
    return hasRestarted || hasWrittenInEpoch;
  }

  /** Returns the revision of a record, or the one that a tombstone deletes. */
  Optional<Revision> revision(KeyedRecord record) {
    if (!options.revisions().areStated(record.key())) {
      return Optional.empty();
    }
    return record.isTombstone() ? record.deleted() : options.revisions().of(record);
  }

  private void replace(KeyedRecord known, KeyedRecord record) {
    if (known == null) {
      put(record);
      onChange.accept(record);
      return;
    }
    put(record.isTombstone() ? record.deleting(revision(known)) : record);
    boolean isSame =
        record.position().epoch() != known.position().epoch()
            && ReplacedRecords.haveSameValue(record, known);
    if (isSame) {
      return;
    }
    replaced.add(known);
    onChange.accept(
        record.position().isBefore(known.position()) ? record.at(known.position()) : record);
  }

  private void put(KeyedRecord record) {
    newest.put(record.key(), record);
    changes++;
    if (!isOfEarlierEpoch(record)) {
      withheld.remove(record.key());
    }
  }

  private void deleteMissing(RecordBatch snapshot, long now) {
    Set<String> present =
        snapshot.records().stream().map(KeyedRecord::key).collect(Collectors.toSet());
    withheld.keySet().retainAll(present);
    List<KeyedRecord> missing =
        newest.values().stream()
            .filter(known -> !known.isTombstone() && !present.contains(known.key()))
            .filter(known -> known.position().isBefore(snapshot.end()))
            .sorted((one, two) -> one.key().compareTo(two.key()))
            .toList();
    missing.stream().filter(this::isOfEarlierEpoch).forEach(known -> awaitRewrite(now));
    // The next record has the snapshot's end and must count as newer than the deletion.
    LogPosition deletedAt = snapshot.end().at(snapshot.end().offset() - 1);
    missing.stream()
        .filter(known -> !isOfEarlierEpoch(known))
        .forEach(
            known -> replace(known, new KeyedRecord(deletedAt, known.key(), Optional.empty())));
  }

  /** Deletes a key for good, so that any later record of it counts as its first. */
  private void forget(KeyedRecord lost) {
    newest.remove(lost.key());
    changes++;
    onChange.accept(new KeyedRecord(end, lost.key(), Optional.empty()));
  }
}
