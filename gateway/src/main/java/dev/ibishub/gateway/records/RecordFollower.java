package dev.ibishub.gateway.records;

import com.google.common.flogger.FluentLogger;
import dev.ibishub.core.entries.LogPosition;
import dev.ibishub.core.entries.ReadSchedule;
import dev.ibishub.runtime.LogEvent;
import dev.ibishub.runtime.ThreadConfinement;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * A local copy of the newest record of each key of one topic, kept up to date from the platform's
 * store and from other entries. Not thread-safe: all methods are called on the entry's event loop,
 * and the log's reads complete on it. The listener for changes is called in the order of the
 * records before anything else is done with them.
 *
 * <p>Calls to the store are charged for, so the entries share them: an entry that reads a batch
 * broadcasts it, and a follower reads by itself only if its copy has not been confirmed for its
 * period. Periods are staggered by the entries' order, so as long as the first entry can read, the
 * others don't. An entry whose read fails passes its turn to the next one ({@link ReadSchedule}).
 * An entry that the store rejects still gets the records from its peers.
 *
 * <p>Reads from the store can be seconds stale, and the store may come back from an older copy, so
 * the local copy never goes back ({@link RecordCopy}). Once any response or any other entry shows
 * that the store came back, that is, a higher epoch of the log, answers of the earlier epoch no
 * longer count and the topic is read anew as a snapshot: at once by the entry that got the
 * response, and by the others in turn unless they get the snapshot from it before.
 *
 * <p>Used on the users' platform; behind ibishub's own interface, {@code
 * dev.ibishub.administration.ConfigurationFollower} follows the configuration.
 */
public final class RecordFollower {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * Time after the end of an outage during which further records may still describe events of the
   * outage, milliseconds. A live target whose record expired announces itself again within about
   * two seconds.
   */
  private static final long RECOVERY_MILLIS = 2_000;

  /**
   * Time that an entry which is told of a new epoch gives the sender to pass on its snapshot,
   * milliseconds.
   */
  private static final long PEER_SNAPSHOT_MILLIS = 150;

  /**
   * Time that each next entry in order gives the one before it to read the log of a new epoch,
   * milliseconds; about as long as a response takes to reach the store's caller and then the next
   * entry.
   */
  private static final long REREAD_STAGGER_MILLIS = 8;

  private final FollowerOptions options;
  private final KeyedLog log;
  private final ReadSchedule schedule;
  private final Consumer<RecordBatch> onRead;
  private final BiPredicate<KeyedRecord, KeyedRecord> isRenewal;
  private final Predicate<PassedTurn> passTurn;
  private final RecordCopy copy;
  private final ThreadConfinement confinement = new ThreadConfinement();
  private long latestEpoch = LogPosition.UNSTATED_EPOCH;
  private long lastRead;
  private boolean isReadingSnapshot;

  /** Where the copy ended when the open read began. */
  private LogPosition endWhenAsked;

  private boolean historyLost;
  private boolean reachable = true;
  private long outageMillis;
  private long outageCountsUntil;
  private int turn;
  private int entries = 1;

  /** The entries that have passed on the turn which this one was passed in this round. */
  private Set<String> tried = Set.of();

  /**
   * Creates an empty follower that passes on every record that it reads.
   *
   * @param onChange called with each new record
   * @param onRead called with each batch that this process read from the store, to broadcast it;
   *     called without the lock
   */
  public RecordFollower(
      FollowerOptions options,
      KeyedLog log,
      Consumer<RecordChange> onChange,
      Consumer<RecordBatch> onRead) {
    this(options, log, onChange, onRead, (before, after) -> false);
  }

  /**
   * Creates an empty follower that passes no turns on.
   *
   * @param onChange called with each new record
   * @param onRead called with each batch that this process read from the store, to broadcast it;
   *     called without the lock
   * @param isRenewal whether the second of two records of a key, both with a value, only repeats
   *     the content of the first; such records are left out of the batches passed to {@code onRead}
   */
  public RecordFollower(
      FollowerOptions options,
      KeyedLog log,
      Consumer<RecordChange> onChange,
      Consumer<RecordBatch> onRead,
      BiPredicate<KeyedRecord, KeyedRecord> isRenewal) {
    this(options, log, onChange, onRead, isRenewal, turn -> false);
  }

  /**
   * Creates an empty follower.
   *
   * @param onChange called with each new record
   * @param onRead called with each batch that this process read from the store, to broadcast it;
   *     called without the lock
   * @param isRenewal whether the second of two records of a key, both with a value, only repeats
   *     the content of the first; such records are left out of the batches passed to {@code onRead}
   * @param passTurn sends a turn to the next entry, and returns whether it was sent; called without
   *     the lock
   */
  public RecordFollower(
      FollowerOptions options,
      KeyedLog log,
      Consumer<RecordChange> onChange,
      Consumer<RecordBatch> onRead,
      BiPredicate<KeyedRecord, KeyedRecord> isRenewal,
      Predicate<PassedTurn> passTurn) {
    this.options = options;
    this.schedule = new ReadSchedule(options.turns());
    this.log = log;
    this.onRead = onRead;
    this.isRenewal = isRenewal;
    this.passTurn = passTurn;
    this.copy =
        new RecordCopy(options, record -> onChange.accept(new RecordChange(record, outageMillis)));
  }

  /**
   * A new record.
   *
   * @param record the record
   * @param outageMillis longest time without confirmation of the local copy that ended with the
   *     arrival of this record or less than two seconds before it, milliseconds; large after an
   *     outage of the store
   */
  public record RecordChange(KeyedRecord record, long outageMillis) {}

  /** Returns the name of the log that is followed. */
  public String topic() {
    return options.topic();
  }

  /** Whether any batch has been applied, from the store or another entry. */
  public boolean isKnown() {
    confinement.check();
    return copy.isKnown();
  }

  /** Returns the time since the local copy was last confirmed, milliseconds. */
  public long ageMillis(long now) {
    confinement.check();
    return now - schedule.confirmedAt();
  }

  /** Returns a snapshot for an entry that has just started; empty if nothing is known yet. */
  public Optional<RecordBatch> snapshot() {
    confinement.check();
    return copy.isKnown() ? Optional.of(copy.snapshot()) : Optional.empty();
  }

  /** Returns a number that rises whenever a record of {@link #snapshot} is replaced. */
  public long changes() {
    confinement.check();
    return copy.changes();
  }

  /**
   * Starts a read, or passes the turn on, if that is due. To be called often.
   *
   * @param now current time of the monotonic clock, milliseconds
   * @param turn this entry's position in the order of reading, from 0
   * @param entries number of entries, including this one
   */
  public void tick(long now, int turn, int entries) {
    confinement.check();
    this.turn = turn;
    this.entries = entries;
    actIfDue(now);
  }

  /**
   * Returns when the next read is due, by the monotonic clock in milliseconds; in the past while
   * one is open.
   */
  public long dueAt() {
    confinement.check();
    return schedule.dueAt(turn, entries);
  }

  /** Takes a turn that another entry passed to this one: reads, or passes it on in its turn. */
  public void onTurnReceived(PassedTurn passed, long now) {
    confinement.check();
    tried = passed.tried();
    act(schedule.onTurnReceived(now, passed.waitMillis()));
  }

  private void actIfDue(long now) {
    act(schedule.next(now, turn, entries));
  }

  private void act(ReadSchedule.Decision decision) {
    switch (decision.action()) {
      case READ -> read(decision.waitMillis());
      case PASS -> pass(decision.waitMillis());
      default -> {}
    }
  }

  private void read(long waitMillis) {
    boolean needsSnapshot = !copy.isKnown() || historyLost || isCopyOfEarlierEpoch();
    endWhenAsked = copy.end();
    long from = copy.end().offset();
    isReadingSnapshot = needsSnapshot;
    lastRead++;
    long number = lastRead;
    if (needsSnapshot) {
      ListedRecords.read(log, options.topic())
          .whenComplete((listed, failure) -> onListed(number, listed, failure));
    } else {
      log.read(options.topic(), from, waitMillis)
          .whenComplete((batch, failure) -> onReadDone(number, batch, failure, false));
    }
  }

  private void onListed(long number, ListedRecords listed, Throwable failure) {
    if (failure != null) {
      onReadDone(number, null, failure, false);
      return;
    }
    RecordBatch snapshot = listed.snapshot();
    logger.atInfo().log(
        "%s",
        LogEvent.of("store.listed")
            .with("topic", options.topic())
            .with("pages", listed.pages())
            .with("records", snapshot.records().size())
            .with("end", snapshot.end().offset())
            .with("latest_end", listed.latestEnd().offset()));
    onReadDone(number, snapshot, null, listed.isTorn());
  }

  private boolean isCopyOfEarlierEpoch() {
    return copy.end().epoch() < latestEpoch;
  }

  /**
   * Takes in that the log came back from an older copy, if its epoch is higher than known.
   *
   * @param epoch the log's epoch
   * @param isOwnCall whether a response to a call of this entry states it, so that this entry can
   *     reach the store; otherwise another entry told of it
   * @param now current time of the monotonic clock, milliseconds
   */
  public void onEpoch(long epoch, boolean isOwnCall, long now) {
    confinement.check();
    raiseEpoch(epoch, isOwnCall, now);
    actIfDue(now);
  }

  private void raiseEpoch(long epoch, boolean isOwnCall, long now) {
    if (epoch <= latestEpoch) {
      return;
    }
    latestEpoch = epoch;
    if (!copy.isKnown()) {
      return;
    }
    schedule.onLogReturned(
        isOwnCall ? now : now + PEER_SNAPSHOT_MILLIS + turn * REREAD_STAGGER_MILLIS);
    if (!isReadingSnapshot) {
      lastRead++;
      schedule.onReadAbandoned();
    }
  }

  private void pass(long waitMillis) {
    if (passTurn.test(new PassedTurn(waitMillis, tried))) {
      schedule.onPassed();
    }
  }

  /**
   * Applies a batch that another entry read, unless it leaves a gap or is an older snapshot. Of an
   * older snapshot, only what its sender holds from an earlier epoch of the log is taken in.
   *
   * @param sender the process id of the entry that passed it on
   * @param now current time of the monotonic clock, milliseconds
   * @return whether the batch was applied and extended the local copy
   */
  public boolean onPeerBatch(RecordBatch batch, String sender, long now) {
    confinement.check();
    boolean isReturn = isReturn(batch);
    boolean isExtension = takeInFromPeer(batch, sender, now);
    if (isReturn && turn == 0) {
      // The sender may have started too recently to know from where to read.
      copy.deletionsFrom().ifPresent(this::readDeletions);
    }
    return isExtension;
  }

  /** Whether a batch is the first of a log that has come back. */
  private boolean isReturn(RecordBatch batch) {
    return batch.isSnapshot() && copy.isKnown() && copy.end().epoch() < batch.epoch();
  }

  private boolean takeInFromPeer(RecordBatch batch, String sender, long now) {
    raiseEpoch(batch.epoch(), false, now);
    boolean isNewer = batch.end().isAfter(copy.end());
    boolean isApplicable = copy.isApplicable(batch);
    if (isApplicable) {
      applyBatch(batch, now);
      historyLost = historyLost && !isNewer;
      return isNewer;
    }
    if (batch.isSnapshot()) {
      copy.applyCarriedOver(batch, now);
    }
    logger.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
        "%s",
        LogEvent.of("records.dropped")
            .with("topic", options.topic())
            .with("sender", sender)
            .with("snapshot", batch.isSnapshot())
            .with("epoch", batch.epoch())
            .with("from", batch.from())
            .with("end", batch.end().offset())
            .with("epoch_known", copy.end().epoch())
            .with("known", copy.end().offset()));
    return false;
  }

  /**
   * Takes in the outcome of a read.
   *
   * @param isTorn whether the batch lacks some of what changed while it was listed, which is read
   *     at once
   */
  private void onReadDone(long number, RecordBatch batch, Throwable failure, boolean isTorn) {
    confinement.check();
    if (number != lastRead) {
      return;
    }
    long now = options.clock().getAsLong();
    Optional<RecordBatch> toBroadcast = Optional.empty();
    OptionalLong deletionsFrom = OptionalLong.empty();
    if (failure != null) {
      onFailure(failure, now);
    } else {
      boolean isReturn = isReturn(batch);
      toBroadcast = takeIn(batch, now);
      deletionsFrom = isReturn ? copy.deletionsFrom() : deletionsFrom;
      if (isTorn && toBroadcast.isPresent()) {
        schedule.onCopyIncomplete(now);
      }
    }
    toBroadcast.ifPresent(onRead);
    deletionsFrom.ifPresent(this::readDeletions);
    if (toBroadcast.isEmpty() || isTorn) {
      // The next entry, or this one, is to read at once, not when this one ticks again.
      actIfDue(now);
    }
  }

  /** Reads tombstones that were written between the log's return and the first snapshot of it. */
  private void readDeletions(long from) {
    log.read(options.topic(), from, 0)
        .whenComplete(
            (range, failure) -> {
              if (failure == null) {
                onDeletionsRead(range);
              } else {
                // The keys count as lost, until the deadline for writing them again.
                logger.atInfo().log(
                    "%s",
                    LogEvent.of("store.deletions_unread")
                        .with("topic", options.topic())
                        .with("from", from)
                        .with("cause", failure));
              }
            });
  }

  private void onDeletionsRead(RecordBatch range) {
    confinement.check();
    Optional<RecordBatch> deletions = copy.deletions(range);
    deletions.ifPresent(batch -> applyBatch(batch, options.clock().getAsLong()));
    boolean isPartial =
        !range.records().isEmpty()
            && range.epoch() == copy.end().epoch()
            && range.end().isBefore(copy.end());
    deletions.ifPresent(onRead);
    if (isPartial) {
      readDeletions(range.end().offset());
    }
  }

  /** Applies a batch that the store returned, and returns what the other entries need of it. */
  private Optional<RecordBatch> takeIn(RecordBatch batch, long now) {
    raiseEpoch(batch.epoch(), true, now);
    boolean isStaleSnapshot = batch.isSnapshot() && batch.end().isBefore(endWhenAsked);
    if (isStaleSnapshot || batch.epoch() < latestEpoch) {
      logger.atWarning().log(
          "%s",
          LogEvent.of("store.behind")
              .with("topic", options.topic())
              .with("epoch", batch.epoch())
              .with("end", batch.end().offset())
              .with("epoch_known", latestEpoch)
              .with("known", copy.end().offset()));
      schedule.onReadFailed(now, entries);
      return Optional.empty();
    }
    schedule.onReadDone();
    onReachable(now);
    if (!copy.isApplicable(batch)) {
      // The log came back and has grown past the offset that this read began at, or another entry's
      // snapshot, which is as good, came while this one was listed.
      return Optional.empty();
    }
    historyLost = historyLost && !batch.isSnapshot();
    RecordBatch toBroadcast = batch.isSnapshot() ? batch : withoutRenewals(batch);
    applyBatch(batch, now);
    return Optional.of(toBroadcast);
  }

  /**
   * Returns a batch without heartbeats that bring no change. Each target writes one per second, and
   * all entries would decode each of these records, which are most of those that they receive. The
   * first record of a key in an epoch is passed on, as it shows that the log has the key again, and
   * so is one that this entry already has from another one, as the others may not have it.
   */
  private RecordBatch withoutRenewals(RecordBatch batch) {
    Map<String, KeyedRecord> before = new HashMap<>();
    List<KeyedRecord> news = new ArrayList<>();
    for (KeyedRecord record : batch.records()) {
      Optional<KeyedRecord> known =
          Optional.ofNullable(before.get(record.key())).or(() -> copy.newest(record.key()));
      before.put(record.key(), record);
      boolean repeatsKnown =
          known.isPresent()
              && !known.get().isTombstone()
              && !record.isTombstone()
              && isLaterInEpoch(record, known.get())
              && isRenewal.test(known.get(), record);
      if (!repeatsKnown) {
        news.add(withDeletedRevision(record, known));
      }
    }
    return new RecordBatch(batch.from(), batch.end(), false, news);
  }

  private static boolean isLaterInEpoch(KeyedRecord record, KeyedRecord known) {
    return record.position().epoch() == known.position().epoch()
        && record.position().isAfter(known.position());
  }

  /**
   * Returns a tombstone with the revision that it deletes, which the other entries may not know, as
   * they don't get renewals.
   */
  private KeyedRecord withDeletedRevision(KeyedRecord record, Optional<KeyedRecord> known) {
    return record.isTombstone() ? record.deleting(known.flatMap(copy::revision)) : record;
  }

  private void onFailure(Throwable failure, long now) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    if (cause instanceof KeyedLog.HistoryLostException) {
      historyLost = true;
      schedule.onHistoryLost();
      logger.atInfo().log(
          "%s",
          LogEvent.of("store.history_lost")
              .with("topic", options.topic())
              .with("epoch", copy.end().epoch())
              .with("at", copy.end().offset()));
      return;
    }
    schedule.onReadFailed(now, entries);
    if (reachable) {
      reachable = false;
      logger.atWarning().log(
          "%s",
          LogEvent.of("store.lost")
              .with("topic", options.topic())
              .with("age_ms", now - schedule.confirmedAt())
              .with("cause", cause));
    }
  }

  private void onReachable(long now) {
    if (!reachable) {
      reachable = true;
      logger.atInfo().log(
          "%s",
          LogEvent.of("store.back")
              .with("topic", options.topic())
              .with("age_ms", now - schedule.confirmedAt()));
    }
  }

  private void applyBatch(RecordBatch batch, long now) {
    noteGap(copy.isKnown() ? now - schedule.confirmedAt() : 0, now);
    copy.apply(batch, now);
    if (isCopyOfEarlierEpoch()) {
      return;
    }
    copy.reconcile(now);
    schedule.onConfirmed(now);
    tried = Set.of();
  }

  /**
   * Notes the time without confirmation before a batch. Records that arrive after an outage may
   * describe events from its beginning, so the whole gap counts for each of them, also for those of
   * the next batches.
   */
  private void noteGap(long gap, long now) {
    if (gap > outageMillis || now >= outageCountsUntil) {
      outageMillis = gap;
      outageCountsUntil = now + RECOVERY_MILLIS;
    }
  }
}
