package dev.ibishub.administration;

import com.google.common.flogger.FluentLogger;
import dev.ibishub.core.Configuration;
import dev.ibishub.core.ConfigurationEvent;
import dev.ibishub.core.ConfigurationReader;
import dev.ibishub.core.ConfigurationState;
import dev.ibishub.core.SnapshotSchedule;
import dev.ibishub.outbound.AppendOnlyLog;
import dev.ibishub.outbound.LogPage;
import dev.ibishub.runtime.SerialExecutor;
import dev.ibishub.settings.ConfigurationDocument;
import dev.ibishub.settings.SettingsException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Follower of the configuration, which learns its revisions from the log and from peers and
 * provides the configuration in force at one site. It starts no threads: it runs on those of the
 * common pool, of the log's futures and of its callers. Thread-safe; listeners are told in the
 * order of revisions, one at a time, while no lock is held.
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
  /** Name of the log stream that carries the configuration. */
  public static final String STREAM = "configuration";

  /**
   * Delay after an empty page; prevents a busy loop on a log that does not hold an empty read open.
   */
  private static final long EMPTY_PAGE_DELAY_MILLIS = 50;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final AppendOnlyLog log;
  private final String site;
  private final Options options;
  private final Object lock = new Object();
  private final ConfigurationReader reader;
  private final List<Consumer<Configuration>> listeners = new CopyOnWriteArrayList<>();
  private final List<Waiter> waiters = new CopyOnWriteArrayList<>();
  private final List<Consumer<Set<String>>> evacuationListeners = new CopyOnWriteArrayList<>();
  private volatile Configuration current;
  private volatile Set<String> evacuatedZones = Set.of();
  private volatile boolean closed;
  private volatile long firstRetainedOffset;
  private final AtomicInteger failures = new AtomicInteger();
  private final SerialExecutor notifications = new SerialExecutor(Runnable::run);

  /** Guarded by the lock; empty until a configuration is known. */
  private Optional<InForce> newest = Optional.empty();

  /** Used by the notifications alone. */
  private long notifiedRevision = -1;

  /**
   * What listeners are to be told.
   *
   * @param configuration empty if this release cannot parse it
   */
  private record InForce(Set<String> evacuatedZones, Optional<Configuration> configuration) {}

  private record Waiter(Supplier<Boolean> condition, CompletableFuture<Void> done) {}

  /**
   * Options of a follower.
   *
   * @param clock the current time
   * @param random source of the back-off jitter
   * @param maximumRecordsPerRead the maximum number of records in one read
   * @param maximumReadWait how long the log may hold a read open while there are no new records
   * @param initialBackoff the upper bound of the delay after the first failed read
   * @param maximumBackoff the largest bound, which is reached by doubling after each failure
   * @param readerOptions limits on the history that is kept
   */
  public record Options(
      InstantSource clock,
      RandomGenerator random,
      int maximumRecordsPerRead,
      Duration maximumReadWait,
      Duration initialBackoff,
      Duration maximumBackoff,
      ConfigurationReader.Options readerOptions) {
    /** Returns the options for production use. */
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
    this.reader = ConfigurationReader.create(options.readerOptions());
    this.current = Configuration.empty(site);
  }

  /**
   * Creates a follower that has not started reading.
   *
   * @param log the platform's log
   * @param site the site whose overlay applies
   * @param options the options
   */
  public static ConfigurationFollower create(AppendOnlyLog log, String site, Options options) {
    return new ConfigurationFollower(log, site, options);
  }

  /** Starts reading the log, which continues until {@link #close}. */
  public void start() {
    readNextPage();
  }

  @Override
  public void close() {
    closed = true;
  }

  /** Returns the latest configuration of the site that this process knows. */
  public Configuration current() {
    return current;
  }

  /** Returns the zones that operators have taken out of service, as far as this process knows. */
  public Set<String> evacuatedZones() {
    return evacuatedZones;
  }

  /**
   * Adds a listener, which is called with the evacuated zones on each change, before a
   * configuration of that revision is {@link #current}. To be added before {@link #start}.
   * Listeners must not block.
   */
  public void addEvacuationListener(Consumer<Set<String>> listener) {
    evacuationListeners.add(listener);
  }

  /** Tells whether a configuration is known; until then, a process must refuse requests. */
  public boolean isKnown() {
    synchronized (lock) {
      return reader.isKnown();
    }
  }

  /** Returns the state of the configuration in force, with the texts of base and overlays. */
  public ConfigurationState state() {
    synchronized (lock) {
      return reader.state();
    }
  }

  /** Returns the state of a past revision; empty if it is unknown or no longer kept. */
  public Optional<ConfigurationState> state(long revision) {
    synchronized (lock) {
      return reader.state(revision);
    }
  }

  /** Returns the verdicts on the latest changes, oldest first. */
  public List<ConfigurationEvent> events() {
    synchronized (lock) {
      return reader.events();
    }
  }

  /** Returns the verdict on one change; empty if the change was not read. */
  public Optional<ConfigurationEvent> event(String recordId) {
    synchronized (lock) {
      return reader.event(recordId);
    }
  }

  /** Returns a digest of what this process knows, to be sent to peers. */
  public ConfigurationReader.Digest digest() {
    synchronized (lock) {
      return reader.digest();
    }
  }

  /** Returns an encoded snapshot for a peer that is behind; see {@link #acceptPeerSnapshot}. */
  public byte[] encodeSnapshot() {
    synchronized (lock) {
      return ConfigurationCodec.encode(reader.snapshot(UUID.randomUUID().toString()));
    }
  }

  /**
   * Applies a snapshot from a peer. Invalid bytes and outdated snapshots are ignored.
   *
   * @param transfer the bytes that {@link #encodeSnapshot} returned in another process
   */
  public void acceptPeerSnapshot(byte[] transfer) {
    ConfigurationCodec.decodeSnapshot(transfer)
        .ifPresent(
            snapshot ->
                update(
                    () -> {
                      reader.adoptPeerState(snapshot);
                      reader.rejoin(firstRetainedOffset);
                    }));
  }

  /**
   * Adds a listener, which is called with the current configuration, if one is known, and with each
   * newer one. When revisions follow one another quickly, it may see only the latest. Listeners
   * must not block.
   */
  public void addListener(Consumer<Configuration> listener) {
    notifications.execute(
        () -> {
          listeners.add(listener);
          if (notifiedRevision >= 0) {
            listener.accept(current);
          }
        });
  }

  /**
   * Returns an encoded snapshot to append to the log if one is due from this process; otherwise
   * empty. A snapshot is due when the log's retention will soon delete the records from which a new
   * process could learn the configuration.
   *
   * @param processId the id of this process
   * @param liveEntries the ids of the processes that may write, as this process sees them
   * @param retention how long the log keeps records
   */
  Optional<byte[]> snapshotIfDue(
      String processId, Collection<String> liveEntries, Duration retention) {
    synchronized (lock) {
      long revision = reader.state().revision();
      Instant due =
          SnapshotSchedule.dueAt(
              reader.restorePointAt(), retention, processId, liveEntries, revision);
      return reader.maySnapshot() && !options.clock().instant().isBefore(due)
          ? Optional.of(ConfigurationCodec.encode(reader.snapshot(UUID.randomUUID().toString())))
          : Optional.empty();
    }
  }

  /**
   * Describes the change that was accepted after a revision, for the author of a conflicting one.
   */
  String describeConflictingChange(long basedOnRevision) {
    synchronized (lock) {
      return reader.describeConflictingChange(basedOnRevision);
    }
  }

  /**
   * Waits for the verdict on a change.
   *
   * @param recordId the id of the change's log record
   * @return a future that completes once {@link #event} returns the verdict
   */
  CompletableFuture<Void> whenDecided(String recordId) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    waiters.add(new Waiter(() -> event(recordId).isPresent(), done));
    notifications.execute(this::notifyListeners);
    return done;
  }

  private void readNextPage() {
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
    Instant waitUntil = known ? now.plus(options.maximumReadWait()) : now;
    log.read(STREAM, from, options.maximumRecordsPerRead(), waitUntil)
        .whenComplete(
            (page, failure) -> {
              long delayMillis = failure == null ? applyPage(page) : nextBackoffMillis(failure);
              delayedExecutor(delayMillis).execute(this::readNextPage);
            });
  }

  private static Executor delayedExecutor(long millis) {
    return CompletableFuture.delayedExecutor(millis, TimeUnit.MILLISECONDS);
  }

  private long applyPage(LogPage page) {
    failures.set(0);
    reportLostRecords(page.nextOffset());
    update(
        () -> {
          firstRetainedOffset = page.firstKept();
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
    return page.records().isEmpty() ? EMPTY_PAGE_DELAY_MILLIS : 0;
  }

  /**
   * Reports a log that ends before what was read of it, against its contract: what it lost stays in
   * force here, and what it appends at offsets that were read is ignored.
   */
  private void reportLostRecords(long end) {
    long read;
    synchronized (lock) {
      read = reader.nextOffset();
    }
    if (end < read) {
      logger.atSevere().atMostEvery(10, TimeUnit.SECONDS).log(
          "event=configuration_log_went_back end=%d read=%d revision=%d",
          end, read, state().revision());
    }
  }

  /**
   * Returns a delay between half and all of a bound that doubles with each failure. The jitter
   * spreads the retries of many processes.
   */
  private long nextBackoffMillis(Throwable failure) {
    int before = failures.getAndIncrement();
    long bound =
        Math.min(
            options.maximumBackoff().toMillis(),
            options.initialBackoff().toMillis() << Math.min(before, 16));
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
        newest =
            Optional.of(
                new InForce(EvacuatedZonesPart.zones(reader.state()), mergedConfiguration()));
      }
    }
    notifications.execute(this::notifyListeners);
  }

  /**
   * Tells the listeners of the newest revision, and then those who wait for a verdict that it
   * shows. The zones come before the configuration of the same revision is current: a request that
   * is admitted by it must not go to an evacuated zone.
   */
  private void notifyListeners() {
    Optional<InForce> inForce;
    synchronized (lock) {
      inForce = newest;
    }
    inForce.map(InForce::evacuatedZones).ifPresent(this::updateEvacuatedZones);
    inForce.flatMap(InForce::configuration).ifPresent(configuration -> current = configuration);
    Configuration now = current;
    if (isKnown() && now.revision() > notifiedRevision) {
      notifiedRevision = now.revision();
      listeners.forEach(listener -> listener.accept(now));
    }
    completeWaiters();
  }

  private void updateEvacuatedZones(Set<String> zones) {
    if (!zones.equals(evacuatedZones)) {
      evacuatedZones = zones;
      evacuationListeners.forEach(listener -> listener.accept(zones));
    }
  }

  /**
   * Returns the accepted base merged with the site's overlay; empty if this release cannot parse
   * the texts, for example because they have keys of a newer release. Such texts are accepted all
   * the same. The last configuration that could be parsed then stays in use here, which the log
   * line and the revision in the status show.
   */
  private Optional<Configuration> mergedConfiguration() {
    ConfigurationState state = reader.state();
    try {
      return Optional.of(
          ConfigurationDocument.parse(
                  new ConfigurationDocument.Source("base", state.base()),
                  EvacuatedZonesPart.overlaysOfSites(state))
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
