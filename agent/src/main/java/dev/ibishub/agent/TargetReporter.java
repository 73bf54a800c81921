package dev.ibishub.agent;

import dev.ibishub.engines.CacheEvents;
import dev.ibishub.engines.EngineLoad;
import dev.ibishub.engines.EngineState;
import dev.ibishub.engines.ModelEngine;
import dev.ibishub.settings.AgentSettings;
import dev.ibishub.wire.generated.CacheReport;
import dev.ibishub.wire.generated.Frame;
import dev.ibishub.wire.generated.TargetReport;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Tells the entries how the target stands. Figures of the engine are as old as the engine gives
 * them; what waits and runs here is as of now. Thread-safe.
 */
final class TargetReporter {
  /** An engine that has not answered for this long takes no work. */
  private static final Duration SILENCE = Duration.ofSeconds(3);

  private final AgentSettings settings;
  private final AttemptRunner runner;
  private final Optional<ModelEngine> engine;
  private final LongSupplier highestEpoch;
  private final InstantSource clock;
  private final AtomicLong sequence = new AtomicLong();
  private final AtomicLong nextCacheEvent = new AtomicLong();
  private volatile Instant answeredAt = Instant.EPOCH;
  private volatile Optional<EngineLoad> load = Optional.empty();
  private volatile Optional<EngineState> state = Optional.empty();

  TargetReporter(
      AgentSettings settings,
      AttemptRunner runner,
      Optional<ModelEngine> engine,
      LongSupplier highestEpoch,
      InstantSource clock) {
    this.settings = settings;
    this.runner = runner;
    this.engine = engine;
    this.highestEpoch = highestEpoch;
    this.clock = clock;
  }

  /** Asks the engine for its load; the answer goes into later reports. */
  void refreshLoad() {
    engine.ifPresent(
        present ->
            present.load().whenComplete((answer, thrown) -> load = Optional.ofNullable(answer)));
  }

  /** Asks the engine what it has loaded. */
  void refreshState() {
    engine.ifPresent(
        present ->
            present
                .state()
                .thenAccept(
                    answer -> {
                      state = Optional.of(answer);
                      answeredAt = clock.instant();
                    }));
  }

  /** Asks the engine for cache events and passes them on. */
  void refreshCache(Consumer<Frame> send) {
    engine.ifPresent(
        present ->
            present
                .cacheEvents(nextCacheEvent.get())
                .thenAccept(
                    events -> {
                      nextCacheEvent.set(events.nextSequence());
                      if (!events.events().isEmpty()) {
                        send.accept(cacheReport(events));
                      }
                    }));
  }

  /** Whether the target can take work now. */
  boolean isReachable() {
    return engine.isEmpty() || answeredAt.plus(SILENCE).isAfter(clock.instant());
  }

  /** Returns the report of this moment. */
  Frame report() {
    TargetReport.Builder report =
        TargetReport.newBuilder()
            .setTarget(settings.targetId())
            .setSequence(sequence.incrementAndGet())
            .setLeaving(runner.isLeaving())
            .setEngineReachable(isReachable())
            .setQueued(runner.queued())
            .setRunning(runner.running())
            .setLimit(runner.limit())
            .setQueuedTokens(runner.queuedTokens())
            .setTokensPerSecond(load.map(EngineLoad::tokensPerSecond).orElse(0.0))
            .addAllServed(served())
            .setGroup(settings.group().orElse(""))
            .setRank(settings.rank().orElse(0))
            .setService(settings.service().orElse(""))
            .setZone(settings.zone())
            .setMeasuredAtMillis(
                load.map(EngineLoad::measuredAt).orElseGet(clock::instant).toEpochMilli())
            .setHighestEpoch(highestEpoch.getAsLong());
    return Frame.newBuilder().setTargetReport(report).build();
  }

  private List<String> served() {
    return settings
        .service()
        .map(service -> List.of("service:" + service))
        .orElseGet(() -> state.map(EngineState::served).orElse(List.of()));
  }

  private Frame cacheReport(CacheEvents events) {
    return Frame.newBuilder()
        .setCacheReport(
            CacheReport.newBuilder()
                .setTarget(settings.targetId())
                .addAllAddedPrefixes(hashes(events, true))
                .addAllEvictedPrefixes(hashes(events, false)))
        .build();
  }

  private static List<Long> hashes(CacheEvents events, boolean added) {
    return events.events().stream()
        .filter(event -> event.added() == added)
        .map(CacheEvents.Event::prefixHash)
        .toList();
  }
}
