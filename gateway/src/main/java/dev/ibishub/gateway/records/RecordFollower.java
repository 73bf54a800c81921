package dev.ibishub.gateway.records;

import com.google.common.flogger.FluentLogger;
import dev.ibishub.runtime.LogEvent;
import dev.ibishub.runtime.MonotonicClock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletionException;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * Knows the newest record of each key of one topic. Thread-safe by one lock; listeners are called
 * under it, in the order of the records.
 *
 * <p>Calls to the store are paid for, so the entries share them: whoever reads tells the others,
 * and a follower reads by itself only when it has heard nothing for its period. Periods differ by
 * an entry's turn, so as long as the first in order can read, the others don't. An entry that the
 * store turns away hears from the others and is no worse off.
 *
 * <p>Nothing goes back: a record is taken only with a higher offset than the key's last one, and a
 * whole batch only if it reaches as far as what is known. Reads can be seconds behind.
 */
public final class RecordFollower {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Pause after a failed read, milliseconds: a store that is down sees 4 calls a second each. */
  private static final long RETRY_MILLIS = 250;

  /**
   * Entries that wait a whole turn after each other. Those behind them follow closely: of 42
   * entries the last would otherwise wait 42 s for a configuration while its links to the first are
   * broken, and when the first few are turned away by the store.
   */
  static final int FIRST_TURNS = 4;

  /** Turns between two of those behind; enough for the store's answer to reach the next in time. */
  private static final double LATER_TURN = 1.0 / 64;

  private static final long UNKNOWN = -1;

  private final FollowerOptions options;
  private final KeyedLog log;
  private final Consumer<RecordChange> onChange;
  private final Consumer<RecordBatch> onRead;
  private final BiPredicate<KeyedRecord, KeyedRecord> isRenewal;
  private final Map<String, KeyedRecord> newest = new HashMap<>();
  private long next = UNKNOWN;
  private boolean historyLost;
  private boolean reading;
  private long confirmedAt = Long.MIN_VALUE / 2;
  private long notBefore = Long.MIN_VALUE / 2;
  private boolean reachable = true;
  private long outageMillis;

  /**
   * Creates a follower that knows nothing yet and passes each record on.
   *
   * @param onChange told of each new record
   * @param onRead told of each batch that this process read by itself, to pass it on to others
   */
  public RecordFollower(
      FollowerOptions options,
      KeyedLog log,
      Consumer<RecordChange> onChange,
      Consumer<RecordBatch> onRead) {
    this(options, log, onChange, onRead, (before, after) -> false);
  }

  /**
   * Creates a follower that knows nothing yet.
   *
   * @param onChange told of each new record
   * @param onRead told of each batch that this process read by itself, to pass it on to others
   * @param isRenewal whether the second of two records of a key, both with a value, says nothing
   *     that the first did not; such are left out of what is passed on
   */
  public RecordFollower(
      FollowerOptions options,
      KeyedLog log,
      Consumer<RecordChange> onChange,
      Consumer<RecordBatch> onRead,
      BiPredicate<KeyedRecord, KeyedRecord> isRenewal) {
    this.options = options;
    this.log = log;
    this.onChange = onChange;
    this.onRead = onRead;
    this.isRenewal = isRenewal;
  }

  /**
   * A record that is news.
   *
   * @param record the record
   * @param outageMillis how long nothing had been known before this record came, milliseconds;
   *     large after the store was away
   */
  public record RecordChange(KeyedRecord record, long outageMillis) {}

  public String topic() {
    return options.topic();
  }

  /** Whether anything was ever read or heard. */
  public synchronized boolean isKnown() {
    return next != UNKNOWN;
  }

  /** Returns how long ago what is known was last confirmed, milliseconds. */
  public synchronized long ageMillis(long now) {
    return now - confirmedAt;
  }

  /** Returns all that is known, to hand it to an entry that has just started. */
  public synchronized Optional<RecordBatch> snapshot() {
    return next == UNKNOWN
        ? Optional.empty()
        : Optional.of(new RecordBatch(0, next, true, List.copyOf(newest.values())));
  }

  /**
   * Reads when it is this process's turn. To be called often.
   *
   * @param now the current time, milliseconds
   * @param turn this entry's place in the order of reading, from 0
   */
  public void tick(long now, int turn) {
    boolean whole;
    long from;
    synchronized (this) {
      long due = confirmedAt + options.periodMillis() + (long) (place(turn) * options.turnMillis());
      if (reading || now < notBefore || now < due) {
        return;
      }
      reading = true;
      whole = next == UNKNOWN || historyLost;
      from = next;
    }
    var batch =
        whole
            ? log.newest(options.topic())
            : log.read(options.topic(), from, turn == 0 ? options.waitMillis() : 0);
    batch.whenComplete((read, failure) -> finish(read, failure));
  }

  private static double place(int turn) {
    return Math.min(turn, FIRST_TURNS) + LATER_TURN * Math.max(0, turn - FIRST_TURNS);
  }

  /**
   * Takes a batch in that another entry read.
   *
   * @param now the current time, milliseconds
   * @return whether it reached further than what was known
   */
  public synchronized boolean onHeard(RecordBatch batch, long now) {
    boolean isNews = batch.end() > next;
    boolean fits = batch.isWhole() ? batch.end() >= next : next != UNKNOWN && batch.from() <= next;
    if (fits) {
      take(batch, now);
    }
    return fits && isNews;
  }

  private void finish(RecordBatch batch, Throwable failure) {
    long now = MonotonicClock.millis();
    Optional<RecordBatch> news = Optional.empty();
    synchronized (this) {
      reading = false;
      if (failure != null) {
        onFailure(failure, now);
      } else if (batch.isWhole() && batch.end() < next) {
        logger.atWarning().log(
            "%s",
            LogEvent.of("store.behind")
                .with("topic", options.topic())
                .with("end", batch.end())
                .with("known", next));
        notBefore = now + RETRY_MILLIS;
      } else {
        onReachable(now);
        historyLost = historyLost && !batch.isWhole();
        news = Optional.of(batch.isWhole() ? batch : withoutRenewals(batch));
        take(batch, now);
      }
    }
    news.ifPresent(onRead);
  }

  /**
   * Leaves out what others know already. Targets write once a second each to say that they live,
   * and all entries would decode each of these records, most of what they hear of the store.
   */
  private RecordBatch withoutRenewals(RecordBatch batch) {
    Map<String, KeyedRecord> before = new HashMap<>();
    List<KeyedRecord> news = new ArrayList<>();
    for (KeyedRecord record : batch.records()) {
      KeyedRecord known = before.getOrDefault(record.key(), newest.get(record.key()));
      before.put(record.key(), record);
      boolean isRenewed =
          known != null
              && known.value().isPresent()
              && record.value().isPresent()
              && isRenewal.test(known, record);
      if (!isRenewed) {
        news.add(record);
      }
    }
    return new RecordBatch(batch.from(), batch.end(), false, news);
  }

  private void onFailure(Throwable failure, long now) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    if (cause instanceof KeyedLog.HistoryLostException) {
      historyLost = true;
      logger.atInfo().log(
          "%s", LogEvent.of("store.history_lost").with("topic", options.topic()).with("at", next));
      return;
    }
    notBefore = now + RETRY_MILLIS;
    if (reachable) {
      reachable = false;
      logger.atWarning().log(
          "%s",
          LogEvent.of("store.lost")
              .with("topic", options.topic())
              .with("age_ms", now - confirmedAt)
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
              .with("age_ms", now - confirmedAt));
    }
  }

  private void take(RecordBatch batch, long now) {
    // Records that come in one piece after an outage may tell of what happened early in it, so the
    // whole gap counts for each of them, also when they arrive in several batches.
    long gap = now - confirmedAt;
    long outage = next == UNKNOWN ? 0 : gap;
    List<KeyedRecord> news = new ArrayList<>();
    batch.records().stream().filter(this::isNews).forEach(news::add);
    if (batch.isWhole()) {
      dropped(batch).forEach(key -> news.add(new KeyedRecord(batch.end(), key, Optional.empty())));
    }
    next = Math.max(next, batch.end());
    confirmedAt = now;
    outageMillis = outage;
    news.forEach(this::apply);
  }

  private boolean isNews(KeyedRecord record) {
    KeyedRecord known = newest.get(record.key());
    return known == null || record.offset() > known.offset();
  }

  private Set<String> dropped(RecordBatch whole) {
    Set<String> named = whole.records().stream().map(KeyedRecord::key).collect(Collectors.toSet());
    return newest.values().stream()
        .filter(known -> known.value().isPresent() && known.offset() < whole.end())
        .map(KeyedRecord::key)
        .filter(key -> !named.contains(key))
        .collect(Collectors.toCollection(TreeSet::new));
  }

  private void apply(KeyedRecord record) {
    newest.put(record.key(), record);
    onChange.accept(new RecordChange(record, outageMillis));
  }
}
