package dev.ibishub.core;

import dev.ibishub.core.internal.fairness.Flow;
import dev.ibishub.core.internal.fairness.WaitingWork;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/**
 * The queue of work at one target, served by start-time fair queueing over workspaces: while
 * several workspaces have work waiting, each gets tokens in proportion to its weight, however much
 * the others offer. Estimated tokens are charged when work is polled and corrected when it has
 * completed.
 *
 * <p>Every operation takes time logarithmic in the number of waiting items and workspaces. The
 * state of a workspace without work is evicted once the others have caught up with it. After idle
 * time a workspace may use a short burst at once. Work within that burst is urgent, since its
 * workspace has used less than its share. Thread-safe by one lock: a target's work has one order,
 * so there is nothing to shard.
 *
 * <pre>{@code
 * queue.offer(work);
 * queue.removeExpired(now).forEach(this::refuse);
 * boolean urgent = queue.isNextUrgent();
 * if (urgent ? limit.tryAcquireReserved() : limit.tryAcquire()) {
 *   queue.poll(now).ifPresent(this::start);
 * }
 * queue.completed(work.workspace(), work.estimatedTokens(), usedTokens);
 * }</pre>
 *
 * @param <T> type of the items
 */
public final class FairQueue<T> {
  /**
   * Tokens, divided by the weight, that a workspace may use ahead of its share after it has been
   * idle. Without this burst, the second of two requests of a small workspace at one target waits
   * until the workspace's small share has paid for the first, however little it uses over all
   * targets.
   */
  private static final double BURST_TOKENS = 1000;

  private final Map<String, WaitingWork<T>> waitingById = new HashMap<>();
  private final Map<String, Flow<T>> flows = new HashMap<>();
  private final TreeSet<Flow<T>> backlogged = new TreeSet<>(Flow.BY_START);
  private final TreeSet<Flow<T>> idle = new TreeSet<>(Flow.BY_START);
  private final TreeSet<WaitingWork<T>> byDeadline = new TreeSet<>(WaitingWork.BY_DEADLINE);
  private final List<QueuedWork<T>> expired = new ArrayList<>();
  private double virtualTime;
  private double queuedTokens;
  private long nextArrivalNumber;

  private FairQueue() {}

  /** Creates an empty queue. */
  public static <T> FairQueue<T> create() {
    return new FairQueue<>();
  }

  /**
   * Adds work.
   *
   * @param work the work to add
   * @return false if work with the same id is already waiting; the queue is then unchanged
   */
  public synchronized boolean offer(QueuedWork<T> work) {
    if (waitingById.containsKey(work.id())) {
      return false;
    }
    WaitingWork<T> waiting = new WaitingWork<>(work, nextArrivalNumber++);
    waitingById.put(work.id(), waiting);
    byDeadline.add(waiting);
    queuedTokens += work.estimatedTokens();
    Flow<T> flow = detachedFlow(work.workspace(), work.weight());
    flow.startNoEarlierThan(virtualTime - BURST_TOKENS);
    flow.add(waiting);
    attach(flow);
    return true;
  }

  /**
   * Removes and returns the next work. Work past its deadline is left for {@link #removeExpired}.
   *
   * @param now the current time
   * @return the work to start, or empty if none is waiting
   */
  public synchronized Optional<QueuedWork<T>> poll(Instant now) {
    collectExpired(now);
    if (backlogged.isEmpty()) {
      return Optional.empty();
    }
    Flow<T> flow = detach(backlogged.first());
    virtualTime = Math.max(virtualTime, flow.start());
    WaitingWork<T> first = flow.takeFirst();
    attach(flow);
    removeFromIndexes(first);
    if (backlogged.isEmpty()) {
      virtualTime = Math.max(virtualTime, idle.last().start() + BURST_TOKENS);
    }
    evictIdleFlows();
    return Optional.of(first.work());
  }

  /**
   * Returns whether the next work is urgent, that is, whether its workspace has used less than its
   * share. Urgent work may take a permit reserved for it, and the engine may process it first.
   */
  public synchronized boolean isNextUrgent() {
    return !backlogged.isEmpty() && backlogged.first().start() < virtualTime;
  }

  /**
   * Removes work that is still waiting.
   *
   * @param id id of the work
   * @return false if no such work is waiting: it was polled, has expired or was never offered
   */
  public synchronized boolean remove(String id) {
    WaitingWork<T> waiting = waitingById.get(id);
    if (waiting == null) {
      return false;
    }
    removeWaiting(waiting);
    return true;
  }

  /**
   * Removes all work whose deadline has passed. Each item is returned once.
   *
   * @param now the current time
   * @return the expired work, which {@link #poll} no longer returns
   */
  public synchronized List<QueuedWork<T>> removeExpired(Instant now) {
    collectExpired(now);
    List<QueuedWork<T>> result = List.copyOf(expired);
    expired.clear();
    return result;
  }

  /**
   * Corrects the charge for polled work. A workspace that used less than estimated gets the
   * difference back, but accumulates no more than a short burst.
   *
   * @param workspace workspace that was charged
   * @param estimatedTokens tokens that were charged
   * @param actualTokens tokens that the work used
   */
  public synchronized void completed(
      String workspace, double estimatedTokens, double actualTokens) {
    Flow<T> known = flows.get(workspace);
    double difference = actualTokens - estimatedTokens;
    if (known == null && difference <= 0) {
      return;
    }
    Flow<T> flow = detachedFlow(workspace, 1);
    flow.charge(difference);
    flow.startNoEarlierThan(virtualTime - BURST_TOKENS);
    attach(flow);
    evictIdleFlows();
  }

  /** Returns the number of waiting items. */
  public synchronized int size() {
    return waitingById.size();
  }

  /** Returns the sum of the estimated tokens of the waiting work. */
  public synchronized double queuedTokens() {
    return waitingById.isEmpty() ? 0 : queuedTokens;
  }

  /** Returns the number of workspaces whose state is kept. */
  synchronized int knownWorkspaces() {
    return flows.size();
  }

  private void collectExpired(Instant now) {
    while (!byDeadline.isEmpty() && !byDeadline.first().work().deadline().isAfter(now)) {
      WaitingWork<T> waiting = byDeadline.first();
      removeWaiting(waiting);
      expired.add(waiting.work());
    }
  }

  private void removeWaiting(WaitingWork<T> waiting) {
    Flow<T> flow = detach(flows.get(waiting.work().workspace()));
    flow.remove(waiting);
    attach(flow);
    removeFromIndexes(waiting);
    evictIdleFlows();
  }

  private void removeFromIndexes(WaitingWork<T> waiting) {
    waitingById.remove(waiting.work().id());
    byDeadline.remove(waiting);
    queuedTokens -= waiting.work().estimatedTokens();
  }

  private Flow<T> detachedFlow(String workspace, double weight) {
    Flow<T> known = flows.get(workspace);
    return known == null
        ? Flow.startingAt(virtualTime - BURST_TOKENS, workspace, weight)
        : detach(known);
  }

  private Flow<T> detach(Flow<T> flow) {
    backlogged.remove(flow);
    idle.remove(flow);
    return flow;
  }

  private void attach(Flow<T> flow) {
    flows.put(flow.workspace(), flow);
    (flow.isEmpty() ? idle : backlogged).add(flow);
  }

  /**
   * Evicts idle flows whose next start is not ahead of the virtual time less the burst. A new flow
   * would start at the same place, so no information is lost. Once the last work is polled, no
   * workspace is behind another, so {@link #poll} moves virtual time past all flows. Without
   * eviction the state grows with every workspace ever seen.
   */
  private void evictIdleFlows() {
    while (!idle.isEmpty() && idle.first().start() <= virtualTime - BURST_TOKENS) {
      flows.remove(idle.pollFirst().workspace());
    }
  }
}
