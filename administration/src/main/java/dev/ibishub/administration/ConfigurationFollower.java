package dev.ibishub.administration;

import com.google.common.flogger.FluentLogger;
import dev.ibishub.core.Configuration;
import dev.ibishub.core.ConfigurationEvent;
import dev.ibishub.core.ConfigurationReader;
import dev.ibishub.core.ConfigurationState;
import dev.ibishub.core.SnapshotSchedule;
import dev.ibishub.outbound.AppendOnlyLog;
import dev.ibishub.outbound.LogPage;
import dev.ibishub.settings.ConfigurationDocument;
import dev.ibishub.settings.SettingsException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

/**
 * Follows the configuration on the log and through peers, and tells what is in force at one site.
 * Starts no thread: it works on the threads that complete the log's futures. Thread-safe.
 *
 * <p>Example:
 *
 * <pre>{@code
 * var follower = ConfigurationFollower.create(log, "tbilisi", Options.defaults());
 * follower.addListener(configuration -> admission.use(configuration));
 * follower.start();
 * }</pre>
 */
public final class ConfigurationFollower implements AutoCloseable {
  /** The name of the stream that carries the configuration. */
  public static final String STREAM = "configuration";

  /** Keeps a log that does not wait for a first record from being asked without pause. */
  private static final long EMPTY_PAGE_WAIT_MILLIS = 50;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final AppendOnlyLog log;
  private final String site;
  private final Options options;
  private final Object lock = new Object();
  private final ConfigurationReader reader;
  private final List<Consumer<Configuration>> listeners = new CopyOnWriteArrayList<>();
  private final List<Waiter> waiters = new CopyOnWriteArrayList<>();
  private volatile Configuration current;
  private volatile boolean closed;
  private volatile long firstKept;
  private final AtomicInteger failures = new AtomicInteger();
  private final Object announcing = new Object();
  private long announcedRevision = -1;

  private record Waiter(Supplier<Boolean> condition, CompletableFuture<Void> done) {}

  /**
   * How a follower reads.
   *
   * @param clock tells the time
   * @param random spreads the waits of many processes
   * @param maximumRecords records asked for at once
   * @param longestWait how long the log may hold a read for which there is nothing yet
   * @param firstBackoff the wait after a first failed read
   * @param longestBackoff the wait after many
   * @param reader bounds of what is remembered
   */
  public record Options(
      InstantSource clock,
      RandomGenerator random,
      int maximumRecords,
      Duration longestWait,
      Duration firstBackoff,
      Duration longestBackoff,
      ConfigurationReader.Options reader) {
    /** Returns what suits a process in service. */
    public static Options defaults() {
      return new Options(
          InstantSource.system(),
          RandomGenerator.getDefault(),
          256,
          Duration.ofSeconds(10),
          Duration.ofMillis(100),
          Duration.ofSeconds(3),
          ConfigurationReader.Options.defaults());
    }
  }

  private ConfigurationFollower(AppendOnlyLog log, String site, Options options) {
    this.log = log;
    this.site = site;
    this.options = options;
    this.reader = ConfigurationReader.create(options.reader());
    this.current = Configuration.empty(site);
  }

  /**
   * Creates a follower that has read nothing.
   *
   * @param log the platform's log
   * @param site the site whose overlay holds here
   * @param options how to read
   */
  public static ConfigurationFollower create(AppendOnlyLog log, String site, Options options) {
    return new ConfigurationFollower(log, site, options);
  }

  /** Begins to read; it goes on until {@link #close}. */
  public void start() {
    readOnce();
  }

  @Override
  public void close() {
    closed = true;
  }

  /** Returns what is in force at the site, as far as this process knows. */
  public Configuration current() {
    return current;
  }

  /** Tells whether a configuration was ever learnt; before, a process must refuse work. */
  public boolean isKnown() {
    synchronized (lock) {
      return reader.isKnown();
    }
  }

  /** Returns the texts in force. */
  public ConfigurationState state() {
    synchronized (lock) {
      return reader.state();
    }
  }

  /** Returns the texts of a past revision, if they are still remembered. */
  public Optional<ConfigurationState> state(long revision) {
    synchronized (lock) {
      return reader.state(revision);
    }
  }

  /** Returns what became of the last changes, oldest first. */
  public List<ConfigurationEvent> events() {
    synchronized (lock) {
      return reader.events();
    }
  }

  /** Returns what became of one change, if it was read. */
  public Optional<ConfigurationEvent> event(String recordId) {
    synchronized (lock) {
      return reader.event(recordId);
    }
  }

  /** Returns in short what this process knows, to be sent to peers. */
  public ConfigurationReader.Digest digest() {
    synchronized (lock) {
      return reader.digest();
    }
  }

  /** Returns all that this process knows, for a peer that is behind; see {@link #offer}. */
  public byte[] transfer() {
    synchronized (lock) {
      return ConfigurationCodec.encode(reader.snapshot(UUID.randomUUID().toString()));
    }
  }

  /**
   * Takes what a peer sent; bytes that are no transfer, and one that is behind, change nothing.
   *
   * @param transfer bytes made by {@link #transfer} in another process
   */
  public void offer(byte[] transfer) {
    ConfigurationCodec.decodeSnapshot(transfer)
        .ifPresent(
            snapshot ->
                update(
                    () -> {
                      reader.accept(snapshot);
                      reader.rejoin(firstKept);
                    }));
  }

  /**
   * Adds a listener, which is called with what is in force now, if known, and with each revision
   * that comes to be in force. Listeners must not block.
   */
  public void addListener(Consumer<Configuration> listener) {
    synchronized (announcing) {
      listeners.add(listener);
      if (announcedRevision >= 0) {
        listener.accept(current);
      }
    }
  }

  /**
   * Returns a snapshot to append, if retention will soon take what an empty process could learn the
   * configuration from and this process is the one to write.
   *
   * @param self this process
   * @param live the processes that might write, as this one sees them
   * @param retention how long the log keeps records
   */
  Optional<byte[]> dueSnapshot(String self, Collection<String> live, Duration retention) {
    synchronized (lock) {
      long revision = reader.state().revision();
      Instant due = SnapshotSchedule.dueAt(reader.keptSince(), retention, self, live, revision);
      return reader.maySnapshot() && !options.clock().instant().isBefore(due)
          ? Optional.of(ConfigurationCodec.encode(reader.snapshot(UUID.randomUUID().toString())))
          : Optional.empty();
    }
  }

  /** Describes the change that came after a revision, for an author who was too late. */
  String winnerOver(long basedOnRevision) {
    synchronized (lock) {
      return reader.winnerOver(basedOnRevision);
    }
  }

  /**
   * Waits for the verdict on a change.
   *
   * @param recordId the change
   * @return done once {@link #event} knows it
   */
  CompletableFuture<Void> whenJudged(String recordId) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    waiters.add(new Waiter(() -> event(recordId).isPresent(), done));
    completeWaiters();
    return done;
  }

  private void readOnce() {
    if (closed) {
      return;
    }
    long from;
    boolean known;
    synchronized (lock) {
      from = reader.nextOffset();
      known = reader.isKnown();
    }
    Instant now = options.clock().instant();
    Instant waitUntil = known ? now.plus(options.longestWait()) : now;
    log.read(STREAM, from, options.maximumRecords(), waitUntil)
        .whenComplete(
            (page, failure) -> {
              long waitMillis = failure == null ? take(page) : backOff(failure);
              later(waitMillis).execute(this::readOnce);
            });
  }

  private static Executor later(long millis) {
    return CompletableFuture.delayedExecutor(millis, TimeUnit.MILLISECONDS);
  }

  private long take(LogPage page) {
    failures.set(0);
    update(
        () -> {
          firstKept = page.firstKept();
          reader.rejoin(page.firstKept());
          reader.skipTo(page.firstKept());
          page.records()
              .forEach(
                  record ->
                      reader.apply(
                          record.offset(),
                          record.appendedAt(),
                          ConfigurationCodec.decode(record.payload())));
          if (reader.nextOffset() >= page.nextOffset()) {
            reader.reachedEnd();
          }
        });
    return page.records().isEmpty() ? EMPTY_PAGE_WAIT_MILLIS : 0;
  }

  /**
   * Waits between half and all of a bound that doubles, so that many processes do not come at once.
   */
  private long backOff(Throwable failure) {
    int before = failures.getAndIncrement();
    long bound =
        Math.min(
            options.longestBackoff().toMillis(),
            options.firstBackoff().toMillis() << Math.min(before, 16));
    logger.atWarning().log(
        "event=configuration_read_failed failures=%d detail=\"%s\"",
        before + 1, failure.getMessage());
    return bound / 2 + options.random().nextLong(bound / 2 + 1);
  }

  private void update(Runnable change) {
    synchronized (lock) {
      boolean wasKnown = reader.isKnown();
      long before = reader.state().revision();
      change.run();
      if (reader.state().revision() > before || (!wasKnown && reader.isKnown())) {
        merged().ifPresent(configuration -> current = configuration);
      }
    }
    announce();
    completeWaiters();
  }

  /**
   * Tells the listeners. Log and peers bring news on several threads; without this lock a listener
   * could be given an older revision after a newer one and would stay with it.
   */
  private void announce() {
    synchronized (announcing) {
      Configuration now = current;
      if (isKnown() && now.revision() > announcedRevision) {
        announcedRevision = now.revision();
        listeners.forEach(listener -> listener.accept(now));
      }
    }
  }

  /**
   * Merges the accepted texts. Guards against texts that this release cannot read, such as keys of
   * a newer one: they are accepted all the same, and the last configuration that could be read
   * stays in use here, which the log line and the revision in the status show.
   */
  private Optional<Configuration> merged() {
    ConfigurationState state = reader.state();
    Map<String, ConfigurationDocument.Source> overlays =
        state.overlays().entrySet().stream()
            .collect(
                Collectors.toMap(
                    Map.Entry::getKey,
                    overlay ->
                        new ConfigurationDocument.Source(
                            "overlay " + overlay.getKey(), overlay.getValue())));
    try {
      return Optional.of(
          ConfigurationDocument.parse(
                  new ConfigurationDocument.Source("base", state.base()), overlays)
              .merged(state.revision(), site));
    } catch (SettingsException e) {
      logger.atSevere().log(
          "event=configuration_unreadable revision=%d faults=%d detail=\"%s\"",
          state.revision(), e.faults().size(), e.faults().get(0));
      return Optional.empty();
    }
  }

  private void completeWaiters() {
    waiters.stream()
        .filter(waiter -> waiter.done().isDone() || waiter.condition().get())
        .toList()
        .forEach(
            waiter -> {
              waiters.remove(waiter);
              waiter.done().complete(null);
            });
  }
}
