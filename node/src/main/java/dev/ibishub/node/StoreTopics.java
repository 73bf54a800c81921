package dev.ibishub.node;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import dev.ibishub.core.entries.ReadTurns;
import dev.ibishub.gateway.front.TargetDirectory;
import dev.ibishub.gateway.records.FollowerOptions;
import dev.ibishub.gateway.records.RecordBatch;
import dev.ibishub.gateway.records.RecordFollower;
import dev.ibishub.gateway.records.RecordFollower.RecordChange;
import dev.ibishub.gateway.records.RecordMessages;
import dev.ibishub.platform.StoreClient;
import dev.ibishub.platform.TargetAnnouncementDecoder;
import dev.ibishub.runtime.LogEvent;
import dev.ibishub.runtime.MonotonicClock;
import dev.ibishub.wire.generated.Frame;
import dev.ibishub.wire.generated.RecordProgress;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * The topics of the platform's store that an entry follows: configuration, targets and entries.
 * Thread-safe.
 */
final class StoreTopics {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * Options for the operator's configuration. One entry keeps a long poll open, to which the store
   * responds at once on a change and otherwise after the timeout; the others read only if they
   * receive nothing from it.
   */
  private static final FollowerOptions CONFIGURATION =
      new FollowerOptions(StoreClient.OPERATOR_TOPIC, new ReadTurns(50, 1_300, 1_000));

  /**
   * Options for the targets. Each target writes about once per second, so a long poll would return
   * at every single write. A read every half second returns some ten writes, and a target that
   * leaves is known within a quarter of the time allowed for it.
   */
  private static final FollowerOptions TARGETS =
      new FollowerOptions(StoreClient.TARGETS_TOPIC, new ReadTurns(500, 250, 0));

  /**
   * Options for the entries. They are read rarely, since seeds and heartbeats name most of them.
   */
  private static final FollowerOptions ENTRIES =
      new FollowerOptions(StoreClient.ENTRIES_TOPIC, new ReadTurns(5_000, 1_500, 0));

  private final CurrentConfiguration configuration;
  private final TargetDirectory targets;
  private final Listener listener;
  private final RecordFollower targetFollower;
  private final List<RecordFollower> followers;
  private final Map<String, CachedSnapshot> snapshots = new ConcurrentHashMap<>();

  /**
   * Callbacks for what is read from the store.
   *
   * @param broadcast sends a message with records that this entry read to all linked entries
   * @param onEntryHost called with the IP address of an entry that the store lists
   */
  record Listener(Consumer<Frame> broadcast, Consumer<String> onEntryHost) {}

  /**
   * A cached message with a follower's snapshot, valid while the topic's end offset is the same.
   */
  private record CachedSnapshot(long end, Frame frame) {}

  StoreTopics(
      StoreClient store,
      CurrentConfiguration configuration,
      TargetDirectory targets,
      Listener listener) {
    this.configuration = configuration;
    this.targets = targets;
    this.listener = listener;
    this.targetFollower =
        new RecordFollower(
            TARGETS,
            store,
            this::onTargetRecord,
            batch -> broadcastBatch(TARGETS, batch),
            TargetAnnouncementDecoder::isRenewal);
    this.followers =
        List.of(
            new RecordFollower(
                CONFIGURATION,
                store,
                this::onConfigurationRecord,
                batch -> broadcastBatch(CONFIGURATION, batch)),
            targetFollower,
            new RecordFollower(
                ENTRIES, store, this::onEntryRecord, batch -> broadcastBatch(ENTRIES, batch)));
  }

  /**
   * Starts the reads that are due. To be called often.
   *
   * @param now current time of the monotonic clock, milliseconds
   * @param turn this entry's position in the order of reading, from 0
   */
  void tick(long now, int turn) {
    followers.forEach(follower -> follower.tick(now, turn));
  }

  /** Whether the targets have been received, from the store or another entry. */
  boolean areTargetsKnown() {
    return targetFollower.isKnown();
  }

  /** Passes each topic with the time since its local copy was confirmed, milliseconds. */
  void forEachAge(long now, BiConsumer<String, Long> consumer) {
    followers.forEach(follower -> consumer.accept(follower.topic(), follower.ageMillis(now)));
  }

  /**
   * Applies records that another entry read.
   *
   * @return whether they extended the local copy
   */
  boolean onProgress(RecordProgress message) {
    long now = MonotonicClock.millis();
    RecordProgress progress;
    try {
      progress = RecordMessages.inflated(message);
    } catch (IOException e) {
      logger.atWarning().withCause(e).log("%s", LogEvent.of("progress.unreadable"));
      return false;
    }
    return followers.stream()
        .filter(follower -> follower.topic().equals(progress.getTopic()))
        .map(follower -> follower.onPeerBatch(RecordMessages.batch(progress), now))
        .reduce(false, Boolean::logicalOr);
  }

  /** Returns a snapshot message for each known topic, for an entry that has just been linked. */
  List<Frame> snapshots() {
    return followers.stream().map(this::snapshot).flatMap(Optional::stream).toList();
  }

  /** Returns the snapshot message, cached because it may be large and some topics change rarely. */
  private Optional<Frame> snapshot(RecordFollower follower) {
    return follower
        .snapshot()
        .map(
            batch ->
                snapshots.compute(
                    follower.topic(),
                    (topic, cached) ->
                        cached != null && cached.end() == batch.end()
                            ? cached
                            : new CachedSnapshot(batch.end(), RecordMessages.frame(topic, batch))))
        .map(CachedSnapshot::frame);
  }

  private void broadcastBatch(FollowerOptions options, RecordBatch batch) {
    listener.broadcast().accept(RecordMessages.frame(options.topic(), batch));
  }

  private void onConfigurationRecord(RecordChange change) {
    if (change.record().key().equals(StoreClient.CONFIGURATION_KEY)) {
      configuration.onRecord(change.record());
    }
  }

  private void onTargetRecord(RecordChange change) {
    String id = change.record().key();
    if (change.record().value().isEmpty()) {
      targets.onDropped(id, change.outageMillis(), MonotonicClock.millis());
      return;
    }
    try {
      targets.onAnnounced(
          TargetAnnouncementDecoder.decode(change.record()), change.record().offset());
    } catch (IOException | IllegalArgumentException e) {
      logger.atWarning().log(
          "%s",
          LogEvent.of("target.unreadable")
              .with("target", id)
              .with("offset", change.record().offset())
              .with("cause", e));
    }
  }

  private void onEntryRecord(RecordChange change) {
    change
        .record()
        .value()
        .map(ByteString::copyFrom)
        .map(ByteString::toStringUtf8)
        .ifPresent(listener.onEntryHost());
  }
}
