package dev.ibishub.node;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import dev.ibishub.gateway.front.TargetDirectory;
import dev.ibishub.gateway.records.FollowerOptions;
import dev.ibishub.gateway.records.RecordBatch;
import dev.ibishub.gateway.records.RecordFollower;
import dev.ibishub.gateway.records.RecordFollower.RecordChange;
import dev.ibishub.gateway.records.RecordMessages;
import dev.ibishub.platform.StoreClient;
import dev.ibishub.platform.TargetEntryDecoder;
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
 * What an entry follows in the platform's store: the configuration, the targets, other entries.
 * Thread-safe.
 */
final class StoreTopics {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * How the operator's configuration is followed: one entry keeps a read open that the store
   * answers at once on a change, or after this long; the others step in if they hear nothing.
   */
  private static final FollowerOptions CONFIGURATION =
      new FollowerOptions(StoreClient.OPERATOR_TOPIC, 50, 1_300, 1_000);

  /**
   * How targets are followed. Each writes about once a second, so a read that is held open would
   * return with each single write; a read each half second returns some ten of them, and a target
   * that leaves is known within a quarter of the time that it has to be.
   */
  private static final FollowerOptions TARGETS =
      new FollowerOptions(StoreClient.TARGETS_TOPIC, 500, 250, 0);

  /** How entries that no other entry names are found; seeds and heartbeats name most. */
  private static final FollowerOptions ENTRIES =
      new FollowerOptions(StoreClient.ENTRIES_TOPIC, 5_000, 1_500, 0);

  private final CurrentConfiguration configuration;
  private final TargetDirectory targets;
  private final Listener listener;
  private final RecordFollower targetFollower;
  private final List<RecordFollower> followers;
  private final Map<String, Snapshot> snapshots = new ConcurrentHashMap<>();

  /**
   * Told of what is read.
   *
   * @param broadcast tells all linked entries what this one read
   * @param onEntryHost takes the IP number of an entry that the store names
   */
  record Listener(Consumer<Frame> broadcast, Consumer<String> onEntryHost) {}

  /** A message of all that a follower knew when its topic ended there. */
  private record Snapshot(long end, Frame frame) {}

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
            batch -> tellOthers(TARGETS, batch),
            TargetEntryDecoder::isRenewal);
    this.followers =
        List.of(
            new RecordFollower(
                CONFIGURATION,
                store,
                this::onConfigurationRecord,
                batch -> tellOthers(CONFIGURATION, batch)),
            targetFollower,
            new RecordFollower(
                ENTRIES, store, this::onEntryRecord, batch -> tellOthers(ENTRIES, batch)));
  }

  /**
   * Reads what is due. To be called often.
   *
   * @param turn this entry's place in the order of reading, from 0
   */
  void tick(long now, int turn) {
    followers.forEach(follower -> follower.tick(now, turn));
  }

  boolean areTargetsKnown() {
    return targetFollower.isKnown();
  }

  /** Hands out each topic with how long ago what is known of it was confirmed, milliseconds. */
  void forEachAge(long now, BiConsumer<String, Long> consumer) {
    followers.forEach(follower -> consumer.accept(follower.topic(), follower.ageMillis(now)));
  }

  /**
   * Takes in what another entry read.
   *
   * @return whether it was news
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
        .map(follower -> follower.onHeard(RecordMessages.batch(progress), now))
        .reduce(false, Boolean::logicalOr);
  }

  /** Returns messages of all that is known, for an entry that has just been linked. */
  List<Frame> snapshots() {
    return followers.stream().map(this::snapshot).flatMap(Optional::stream).toList();
  }

  /** Keeps the message, as it may be large and its topic changes rarely. */
  private Optional<Frame> snapshot(RecordFollower follower) {
    return follower
        .snapshot()
        .map(
            batch ->
                snapshots.compute(
                    follower.topic(),
                    (topic, kept) ->
                        kept != null && kept.end() == batch.end()
                            ? kept
                            : new Snapshot(batch.end(), RecordMessages.frame(topic, batch))))
        .map(Snapshot::frame);
  }

  private void tellOthers(FollowerOptions options, RecordBatch batch) {
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
      targets.onAnnounced(TargetEntryDecoder.decode(change.record()), change.record().offset());
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
