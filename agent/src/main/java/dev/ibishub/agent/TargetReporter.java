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
 * Builds the reports on the target's load and state that go to the entries. The engine's figures
 * are as stale as the engine's own answers; the agent's queued and running counts are current.
 * Thread-safe.
 */
final class TargetReporter {
  /** How long after its last answer an engine is considered reachable. */
  private static final Duration REACHABLE_FOR = Duration.ofSeconds(3);

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

  /** Requests the engine's load, for use in later reports. */
  void refreshLoad() {
    engine.ifPresent(
        present ->
            present.load().whenComplete((answer, thrown) -> load = Optional.ofNullable(answer)));
  }

  /** Requests what the engine has loaded; its answer also shows that the engine is reachable. */
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

  /** Requests new cache events from the engine and sends them as a report if there are any. */
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

  /** Returns whether the engine answered recently; always true for a plain service. */
  boolean isReachable() {
    return engine.isEmpty() || answeredAt.plus(REACHABLE_FOR).isAfter(clock.instant());
  }

  /** Returns a new report with the next sequence number. */
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
