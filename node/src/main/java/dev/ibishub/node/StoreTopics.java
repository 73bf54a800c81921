package dev.ibishub.node;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import dev.ibishub.core.entries.LogPosition;
import dev.ibishub.core.entries.ReadTurns;
import dev.ibishub.gateway.front.TargetDirectory;
import dev.ibishub.gateway.model.Target;
import dev.ibishub.gateway.records.FollowerOptions;
import dev.ibishub.gateway.records.KeyedLog;
import dev.ibishub.gateway.records.KeyedRecord;
import dev.ibishub.gateway.records.PassedTurn;
import dev.ibishub.gateway.records.RecordBatch;
import dev.ibishub.gateway.records.RecordFollower;
import dev.ibishub.gateway.records.RecordFollower.RecordChange;
import dev.ibishub.gateway.records.RecordMessages;
import dev.ibishub.gateway.records.RecordRevisions;
import dev.ibishub.platform.OperatorRecords;
import dev.ibishub.platform.StoreClient;
import dev.ibishub.platform.StoreRevisions;
import dev.ibishub.platform.TargetAnnouncementDecoder;
import dev.ibishub.runtime.LogEvent;
import dev.ibishub.wire.NumericAddresses;
import dev.ibishub.wire.generated.Frame;
import dev.ibishub.wire.generated.LogEpoch;
import dev.ibishub.wire.generated.ReadTurn;
import dev.ibishub.wire.generated.RecordProgress;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * The topics of the platform's store that an entry follows: configuration, targets and entries. Not
 * thread-safe: all methods are called on the entry's event loop, and calls to the store complete on
 * it.
 */
final class StoreTopics {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * Turns of reading the targets. Each target writes about once per second, so a long poll would
   * return at every single write. A read every half second returns some ten writes, and a target
   * that leaves is known within a quarter of the time allowed for it.
   */
  private static final ReadTurns TARGET_TURNS = ReadTurns.fixed(500, 250, 0);

  /**
   * Time within which the operator and the entries write again what the store lost when it came
   * back from an older copy, milliseconds. Until then an evacuation is kept that the store lacks.
   */
  private static final long REWRITE_MILLIS = 15_000;

  /**
   * Turns of reading the entries. They are read rarely, since seeds and heartbeats name most of
   * them.
   */
  private static final ReadTurns ENTRY_TURNS = ReadTurns.fixed(5_000, 1_500, 0);

  /**
   * How long a message with all targets is sent again, milliseconds. Its records state their age,
   * which is too low by at most this time; many entries link within it when all start at once.
   */
  private static final long TARGET_SNAPSHOT_MILLIS = 100;

  private final CurrentConfiguration configuration;
  private final CurrentEvacuations evacuations;
  private final TargetDirectory targets;
  private final Listener listener;
  private final LongSupplier clock;
  private final RecordFollower operatorFollower;
  private final RecordFollower targetFollower;
  private final List<RecordFollower> followers;
  private final Map<String, CachedSnapshot> snapshots = new HashMap<>();
  private long epoch = LogPosition.UNSTATED_EPOCH;

  /**
   * Callbacks for what is read from the store.
   *
   * @param broadcast sends a message with records that this entry read to all linked entries
   * @param onEntryHost called with the IP address of an entry that the store lists
   * @param passTurn passes a turn to read to the next entry; returns whether it was sent
   */
  record Listener(
      Consumer<Frame> broadcast, Consumer<String> onEntryHost, Predicate<ReadTurn> passTurn) {}

  /**
   * A cached message with a follower's snapshot, valid while the local copy is the same.
   *
   * @param end the end of the copy
   * @param changes the number of its changes
   * @param validUntil when the ages in it are too low to be sent, on the monotonic clock,
   *     milliseconds; {@link Long#MAX_VALUE} for a topic whose records have no use for an age
   */
  private record CachedSnapshot(LogPosition end, long changes, Frame frame, long validUntil) {
    boolean isValid(LogPosition currentEnd, long currentChanges, long now) {
      return end.equals(currentEnd) && changes == currentChanges && now < validUntil;
    }
  }

  /**
   * Creates empty copies of all topics.
   *
   * @param configurationTurns when each entry reads the operator's configuration; may change at any
   *     time
   * @param clock a monotonic clock, milliseconds
   */
  StoreTopics(
      KeyedLog store,
      CurrentConfiguration configuration,
      CurrentEvacuations evacuations,
      TargetDirectory targets,
      Supplier<ReadTurns> configurationTurns,
      Listener listener,
      LongSupplier clock) {
    this.configuration = configuration;
    this.evacuations = evacuations;
    this.targets = targets;
    this.listener = listener;
    this.clock = clock;
    // The topic also carries evacuations. One entry keeps a long poll open, to which the store
    // responds at once on a change and otherwise after the timeout; the others read only if they
    // receive nothing from it.
    FollowerOptions operatorOptions =
        new FollowerOptions(
            StoreClient.OPERATOR_TOPIC,
            configurationTurns,
            StoreRevisions.OPERATOR,
            REWRITE_MILLIS,
            clock);
    FollowerOptions targetOptions =
        new FollowerOptions(
            StoreClient.TARGETS_TOPIC,
            () -> TARGET_TURNS,
            StoreRevisions.TARGETS,
            TargetDirectory.EXPIRED_GRACE_MILLIS,
            clock);
    FollowerOptions entryOptions =
        new FollowerOptions(
            StoreClient.ENTRIES_TOPIC,
            () -> ENTRY_TURNS,
            RecordRevisions.NONE,
            REWRITE_MILLIS,
            clock);
    this.operatorFollower =
        new RecordFollower(
            operatorOptions,
            store,
            this::onOperatorRecord,
            batch -> broadcastBatch(operatorOptions, batch),
            (before, after) -> false,
            turn -> listener.passTurn().test(message(operatorOptions, turn)));
    this.targetFollower =
        new RecordFollower(
            targetOptions,
            store,
            this::onTargetRecord,
            batch -> broadcastBatch(targetOptions, batch),
            this::isRenewal);
    this.followers =
        List.of(
            operatorFollower,
            targetFollower,
            new RecordFollower(
                entryOptions,
                store,
                this::onEntryRecord,
                batch -> broadcastBatch(entryOptions, batch)));
  }

  /**
   * Starts the reads that are due. To be called often.
   *
   * @param now current time of the monotonic clock, milliseconds
   * @param turn this entry's position in the order of reading, from 0
   * @param entries number of entries, including this one
   */
  void tick(long now, int turn, int entries) {
    followers.forEach(follower -> follower.tick(now, turn, entries));
  }

  /**
   * Returns when the operator's configuration is to be read next, by the monotonic clock in
   * milliseconds; in the past while a read is open. Its turns may be shorter than the interval
   * between ticks.
   */
  long configurationDueAt() {
    return operatorFollower.dueAt();
  }

  /** Takes a turn to read that another entry passed to this one. */
  void onTurn(ReadTurn message) {
    if (message.getTopic().equals(operatorFollower.topic())) {
      operatorFollower.onTurnReceived(
          new PassedTurn(message.getWaitMillis(), Set.copyOf(message.getTriedList())),
          clock.getAsLong());
    }
  }

  /** Returns the highest known epoch of the store's log. */
  long epoch() {
    return epoch;
  }

  /**
   * Takes in the epoch that a response of the store to this entry states. If the store has come
   * back from an older copy, the other entries are told, and all topics are read anew at once.
   */
  void onOwnEpoch(long stated) {
    if (raiseEpoch(stated)) {
      listener.broadcast().accept(RecordMessages.epochFrame(stated));
      followers.forEach(follower -> follower.onEpoch(stated, true, clock.getAsLong()));
    }
  }

  /**
   * Takes in the epoch that another entry knows.
   *
   * @return whether it is higher than known
   */
  boolean onPeerEpoch(LogEpoch message) {
    long told = message.getEpoch();
    boolean isNews = raiseEpoch(told);
    if (isNews) {
      followers.forEach(follower -> follower.onEpoch(told, false, clock.getAsLong()));
    }
    return isNews;
  }

  private boolean raiseEpoch(long other) {
    boolean isHigher = other > epoch;
    epoch = Math.max(epoch, other);
    return isHigher;
  }

  private static ReadTurn message(FollowerOptions options, PassedTurn turn) {
    return ReadTurn.newBuilder()
        .setTopic(options.topic())
        .setWaitMillis((int) turn.waitMillis())
        .addAllTried(turn.tried())
        .build();
  }

  /** Whether the targets have been received, from the store or another entry. */
  boolean areTargetsKnown() {
    return targetFollower.isKnown();
  }

  /**
   * Whether the configuration and the evacuations have been received, from the store or another
   * entry. They come in one batch, which is applied as a whole before the event loop calls anything
   * else, so requests that are accepted only once this returns true are never sent to a zone whose
   * evacuation is about to be applied.
   */
  boolean areOperatorRecordsKnown() {
    return operatorFollower.isKnown();
  }

  /** Passes each topic with the time since its local copy was confirmed, milliseconds. */
  void forEachAge(long now, BiConsumer<String, Long> consumer) {
    followers.forEach(follower -> consumer.accept(follower.topic(), follower.ageMillis(now)));
  }

  /**
   * Applies records that another entry passed on.
   *
   * @param sender the process id of that entry
   * @return whether they extended the local copy
   */
  boolean onProgress(RecordProgress message, String sender) {
    long now = clock.getAsLong();
    RecordProgress progress;
    try {
      progress = RecordMessages.inflated(message);
    } catch (IOException e) {
      logger.atWarning().withCause(e).log(
          "%s", LogEvent.of("progress.unreadable").with("sender", sender));
      return false;
    }
    return followers.stream()
        .filter(follower -> follower.topic().equals(progress.getTopic()))
        .map(follower -> follower.onPeerBatch(RecordMessages.batch(progress), sender, now))
        .reduce(false, Boolean::logicalOr);
  }

  /** Returns a snapshot message for each known topic, for an entry that has just been linked. */
  List<Frame> snapshots() {
    return followers.stream().map(this::snapshot).flatMap(Optional::stream).toList();
  }

  /** Returns the snapshot message, cached because it may be large and some topics change rarely. */
  private Optional<Frame> snapshot(RecordFollower follower) {
    long now = clock.getAsLong();
    long validUntil =
        follower.equals(targetFollower) ? now + TARGET_SNAPSHOT_MILLIS : Long.MAX_VALUE;
    long changes = follower.changes();
    return follower
        .snapshot()
        .map(
            batch ->
                snapshots.compute(
                    follower.topic(),
                    (topic, cached) ->
                        cached != null && cached.isValid(batch.end(), changes, now)
                            ? cached
                            : new CachedSnapshot(
                                batch.end(),
                                changes,
                                RecordMessages.frame(topic, batch),
                                validUntil)))
        .map(CachedSnapshot::frame);
  }

  private void broadcastBatch(FollowerOptions options, RecordBatch batch) {
    listener.broadcast().accept(RecordMessages.frame(options.topic(), batch));
  }

  private void onOperatorRecord(RecordChange change) {
    KeyedRecord record = change.record();
    if (record.key().equals(StoreClient.CONFIGURATION_KEY)) {
      configuration.onRecord(record);
      configuration.get().ifPresent(inForce -> targets.onServices(inForce.serviceNames()));
    }
    OperatorRecords.evacuatedZone(record.key())
        .ifPresent(zone -> evacuations.onRecord(zone, record));
  }

  private void onTargetRecord(RecordChange change) {
    String id = change.record().key();
    if (change.record().value().isEmpty()) {
      targets.onDropped(id, change.outageMillis(), clock.getAsLong());
      return;
    }
    try {
      targets.onAnnounced(announcedTarget(change.record()), change.record().position());
    } catch (IOException e) {
      logger.atWarning().log(
          "%s",
          LogEvent.of("target.unreadable")
              .with("target", id)
              .with("offset", change.record().position().offset())
              .with("cause", e));
    }
  }

  /** Returns the target with the time for which it is cold from now. */
  private Target announcedTarget(KeyedRecord record) throws IOException {
    Target target = TargetAnnouncementDecoder.decode(record);
    long ageMillis = record.ageMillis(clock.getAsLong());
    return target.withColdRemainingMillis(Math.max(0, target.coldRemainingMillis() - ageMillis));
  }

  private boolean isRenewal(KeyedRecord earlier, KeyedRecord later) {
    try {
      return TargetAnnouncementDecoder.isRenewal(earlier, later)
          && !isNews(
              TargetAnnouncementDecoder.decode(earlier), TargetAnnouncementDecoder.decode(later));
    } catch (IOException e) {
      return false;
    }
  }

  private boolean isNews(Target earlier, Target later) {
    return isColdNews(earlier, later) || targets.isAddressShared(later);
  }

  private boolean isColdNews(Target earlier, Target later) {
    return targets.endsColdPeriod(earlier, later) || targets.extendsColdPeriod(later);
  }

  private void onEntryRecord(RecordChange change) {
    change
        .record()
        .value()
        .map(ByteString::copyFrom)
        .map(ByteString::toStringUtf8)
        .filter(NumericAddresses::isHost)
        .ifPresent(listener.onEntryHost());
  }
}
