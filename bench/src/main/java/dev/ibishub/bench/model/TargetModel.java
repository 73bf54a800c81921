package dev.ibishub.bench.model;

import dev.ibishub.core.ConcurrencyLimit;
import dev.ibishub.core.ConcurrencyLimitOptions;
import dev.ibishub.core.FairQueue;
import dev.ibishub.core.QueuedWork;
import dev.ibishub.core.TargetStatus;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Model of a target with its agent: the production queue and concurrency limit in front of an
 * {@link EngineModel}. Not thread-safe.
 */
public final class TargetModel {
  private static final int RESERVED_SLOTS = 6;
  private static final double RATE_SMOOTHING = 0.1;

  private final String id;
  private final String zone;
  private final Set<String> served;
  private final EventQueue events;
  private final Discipline discipline;
  private final FairQueue<ModelRequest> queue = FairQueue.create();
  private final ConcurrencyLimit limit;
  private final EngineModel engine;
  private final Consumer<ModelRequest> onFinished;
  private double tokensPerSecond;
  private double tokensSinceMeasured;
  private double measuredAt;
  private boolean leaving;

  /** Creates an idle target. */
  public TargetModel(
      String id,
      String zone,
      Set<String> served,
      EventQueue events,
      EngineParameters parameters,
      Discipline discipline,
      Consumer<ModelRequest> onFinished) {
    this.id = id;
    this.zone = zone;
    this.served = Set.copyOf(served);
    this.events = events;
    this.discipline = discipline;
    this.onFinished = onFinished;
    this.engine = new EngineModel(events, parameters, this::ended);
    int reserved = discipline == Discipline.FAIR ? RESERVED_SLOTS : 0;
    int sharedSlots = parameters.largestBatch() - reserved;
    this.limit =
        ConcurrencyLimit.create(
            new ConcurrencyLimitOptions(4, sharedSlots, sharedSlots, 0.025, 2, reserved));
    events.every(0.5, this::measure);
  }

  public String id() {
    return id;
  }

  public String zone() {
    return zone;
  }

  public Set<String> served() {
    return served;
  }

  public boolean serves(String name) {
    return served.contains(name);
  }

  public boolean isLeaving() {
    return leaving;
  }

  public EngineModel engine() {
    return engine;
  }

  public int queued() {
    return queue.size();
  }

  public int limit() {
    return limit.limit();
  }

  public void leave() {
    leaving = true;
  }

  /** Queues a request; the queue discipline and the concurrency limit decide when it starts. */
  public void submit(ModelRequest request) {
    submit(request, request.deadlineAt());
  }

  /** Queues a request that expires unless it starts by the given second. */
  public void submit(ModelRequest request, double startBy) {
    queue.offer(
        new QueuedWork<>(
            request.id(),
            discipline == Discipline.FAIR ? request.workspace() : "all",
            discipline == Discipline.FAIR ? request.weight() : 1,
            0,
            request.estimatedTokens(),
            events.instant(startBy),
            request));
    startNext();
  }

  /** Returns the seconds to first token of a request that arrives now, from the actual state. */
  public double firstTokenSeconds(ModelRequest request) {
    boolean waits = queue.size() > 0 || engine.running() >= limit.limit();
    double rate = tokensPerSecond > 0 ? tokensPerSecond : 1;
    double ahead = queue.queuedTokens() + request.estimatedTokens();
    return (waits ? ahead / rate : 0) + engine.firstTokenSeconds(request);
  }

  /** Removes and returns the expired requests of the queue. */
  public List<ModelRequest> removeExpired() {
    return queue.removeExpired(events.now()).stream().map(QueuedWork::item).toList();
  }

  /** Returns the status that the agent would report now. */
  public TargetStatus status() {
    return new TargetStatus(
        id,
        zone,
        leaving,
        true,
        queue.size(),
        engine.running(),
        limit.limit(),
        queue.queuedTokens(),
        tokensPerSecond,
        served,
        events.now());
  }

  private void startNext() {
    while (queue.size() > 0) {
      boolean urgent = discipline == Discipline.FAIR && queue.isNextUrgent();
      if (!(urgent ? limit.tryAcquireReserved() : limit.tryAcquire())) {
        return;
      }
      Optional<QueuedWork<ModelRequest>> next = queue.poll(events.now());
      if (next.isEmpty()) {
        limit.release(new ConcurrencyLimit.Sample(events.now(), events.now(), 0, false));
        return;
      }
      engine.start(next.orElseThrow().item(), urgent);
    }
  }

  private void ended(ModelRequest request) {
    tokensSinceMeasured += request.actualTokens();
    limit.release(
        new ConcurrencyLimit.Sample(
            events.instant(request.startedAt()), events.now(), request.outputTokens(), false));
    queue.completed(
        discipline == Discipline.FAIR ? request.workspace() : "all",
        request.estimatedTokens(),
        request.actualTokens());
    onFinished.accept(request);
    startNext();
  }

  private void measure() {
    double seconds = events.seconds() - measuredAt;
    double rate = tokensSinceMeasured / seconds;
    boolean busy = queue.size() > 0 || engine.running() >= limit.limit();
    if (tokensPerSecond == 0) {
      tokensPerSecond = rate;
    } else if (busy || rate > tokensPerSecond) {
      tokensPerSecond += RATE_SMOOTHING * (rate - tokensPerSecond);
    }
    tokensSinceMeasured = 0;
    measuredAt = events.seconds();
  }

  /** The order in which queued work starts. */
  public enum Discipline {
    /** Order of arrival. */
    FIRST_IN_FIRST_OUT,
    /** Start-time fair queueing over workspaces. */
    FAIR
  }
}
