package dev.ibishub.gateway.experts;

import com.google.common.flogger.FluentLogger;
import dev.ibishub.core.ranks.DemandNote;
import dev.ibishub.gateway.records.KeyedLog;
import dev.ibishub.gateway.records.KeyedRecord;
import dev.ibishub.runtime.LogEvent;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * What the groups' requests last chose, kept where it outlives all entries. Thread-safe.
 *
 * <p>After a loss of power the first map came 1.3 s after the group had opened, as the demand had
 * to be counted first; nearly all answers of that time were late.
 */
public final class DemandNotes {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * How long a note may be used, milliseconds. A loss of power and the start after it take some
   * three seconds; demand that shifts does so within tens.
   */
  static final long USEFUL_MILLIS = 10_000;

  /** Time between two writes for one group, milliseconds; each is paid for. */
  private static final long WRITE_MILLIS = 2_000;

  /** Time between two tries to read, milliseconds, and how many there are. */
  private static final long READ_MILLIS = 400;

  private static final int MOST_READS = 5;

  private final KeyedLog log;
  private final String topic;
  private final Map<String, DemandNote> newest = new ConcurrentHashMap<>();
  private final Map<String, Long> writtenAt = new ConcurrentHashMap<>();
  private final AtomicInteger readsLeft = new AtomicInteger();
  private volatile long nextReadAt;

  /**
   * Creates notes that know nothing yet.
   *
   * @param topic where they are kept, each under its group's name
   */
  public DemandNotes(KeyedLog log, String topic) {
    this.log = log;
    this.topic = topic;
  }

  /** Has what others noted read: this entry is about to lead. */
  void onLeading() {
    readsLeft.set(MOST_READS);
  }

  /** Reads, where that is due. To be called often while leading. */
  void tick(long now) {
    if (readsLeft.get() == 0 || now < nextReadAt) {
      return;
    }
    readsLeft.decrementAndGet();
    nextReadAt = now + READ_MILLIS;
    log.newest(topic)
        .whenComplete(
            (batch, failure) -> {
              if (failure != null) {
                logger.atInfo().log("%s", LogEvent.of("demand.unread").with("cause", failure));
                return;
              }
              readsLeft.set(0);
              batch.records().forEach(this::take);
            });
  }

  /** Returns the newest note of a group. */
  Optional<DemandNote> newest(String group) {
    return Optional.ofNullable(newest.get(group));
  }

  /** Keeps a note in this process. */
  void note(String group, DemandNote note) {
    newest.put(group, note);
  }

  /** Writes a group's newest note, if the last one was written a while ago. */
  void write(String group, long now) {
    DemandNote note = newest.get(group);
    if (note == null || now - writtenAt.getOrDefault(group, now - WRITE_MILLIS) < WRITE_MILLIS) {
      return;
    }
    writtenAt.put(group, now);
    log.append(topic, group, note.toBytes())
        .whenComplete(
            (done, failure) -> {
              if (failure != null) {
                logger.atInfo().log(
                    "%s",
                    LogEvent.of("demand.not_written").with("group", group).with("cause", failure));
              }
            });
  }

  private void take(KeyedRecord record) {
    Optional<DemandNote> read = record.value().flatMap(DemandNote::parse);
    if (read.isEmpty()) {
      logger.atInfo().log(
          "%s",
          LogEvent.of("demand.unreadable")
              .with("group", record.key())
              .with("offset", record.offset()));
      return;
    }
    newest.merge(
        record.key(), read.get(), (own, other) -> other.notedAt() > own.notedAt() ? other : own);
  }
}
