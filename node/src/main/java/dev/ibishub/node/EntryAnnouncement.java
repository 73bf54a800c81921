package dev.ibishub.node;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import dev.ibishub.core.entries.BackOff;
import dev.ibishub.gateway.records.KeyedLog;
import dev.ibishub.platform.StoreClient;
import dev.ibishub.runtime.LogEvent;
import dev.ibishub.runtime.MonotonicClock;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;

/**
 * Writes this entry's address to the store, for entries that share no seed with it: once, and again
 * each time the store has come back from an older copy, which may lack the record. Other entries
 * usually learn of it over links, so there is time while the store rejects the record. Thread-safe.
 */
final class EntryAnnouncement {
  /**
   * Back-off after the first failure, milliseconds. With 370 entries that all fail, 370 calls a
   * second at most are made, and half as many after each further failure.
   */
  private static final long SHORTEST_BACK_OFF_MILLIS = 2_000;

  /** Longest back-off, milliseconds; shorter than entries that are not heard are remembered. */
  private static final long LONGEST_BACK_OFF_MILLIS = 16_000;

  /**
   * Time over which entries spread their writes after the store came back, milliseconds. With 370
   * entries, about 90 calls a second are made.
   */
  private static final long REWRITE_SPREAD_MILLIS = 4_000;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final KeyedLog store;
  private final String processId;
  private final ByteString host;
  private final LongSupplier clock;
  private final DoubleSupplier random;
  private final BackOff backOff = new BackOff(SHORTEST_BACK_OFF_MILLIS, LONGEST_BACK_OFF_MILLIS);
  private boolean isOpen;
  private boolean isWritten;
  private long writtenIn;
  private long dueAt = Long.MIN_VALUE;

  /** Creates an announcement that is not written yet. */
  EntryAnnouncement(KeyedLog store, String processId, String host) {
    this(
        store,
        processId,
        host,
        MonotonicClock::millis,
        () -> ThreadLocalRandom.current().nextDouble());
  }

  /**
   * Creates an announcement that is not written yet.
   *
   * @param clock a monotonic clock, milliseconds
   * @param random uniformly distributed random numbers from 0 to below 1
   */
  EntryAnnouncement(
      KeyedLog store, String processId, String host, LongSupplier clock, DoubleSupplier random) {
    this.store = store;
    this.processId = processId;
    this.host = ByteString.copyFromUtf8(host);
    this.clock = clock;
    this.random = random;
  }

  /**
   * Writes the record if that is due. To be called often.
   *
   * @param epoch highest known epoch of the store's log
   */
  void tick(long epoch) {
    synchronized (this) {
      long now = clock.getAsLong();
      if (isWritten && epoch > writtenIn) {
        isWritten = false;
        dueAt = now + (long) (REWRITE_SPREAD_MILLIS * random.getAsDouble());
      }
      if (isWritten || isOpen || now < dueAt || !backOff.isOver(now)) {
        return;
      }
      isOpen = true;
    }
    store
        .append(StoreClient.ENTRIES_TOPIC, processId, host.toByteArray())
        .whenComplete(
            (storedIn, failure) -> {
              if (failure == null) {
                onWritten(Math.max(storedIn, epoch));
              } else {
                onFailed(failure);
              }
            });
  }

  private synchronized void onWritten(long epoch) {
    isOpen = false;
    isWritten = true;
    writtenIn = epoch;
  }

  private synchronized void onFailed(Throwable failure) {
    isOpen = false;
    backOff.onFailed(clock.getAsLong(), random.getAsDouble());
    logger.atInfo().log("%s", LogEvent.of("entry.not_announced").with("cause", failure));
  }
}
