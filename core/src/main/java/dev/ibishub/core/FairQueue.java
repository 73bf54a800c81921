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
 * The work that waits at one target, handed out by start-time fair queueing over workspaces: while
 * several workspaces wait, each gets tokens in proportion to its weight, whatever the others offer.
 * Estimates are charged when work is handed out and corrected when it has completed.
 *
 * <p>Every command takes time logarithmic in the work and workspaces that wait. A workspace without
 * work is forgotten once the others have caught up with it. After idle time a workspace may use a
 * short burst at once; work within it is urgent: its workspace has used less than its share.
 * Thread-safe by one lock: a target's work has one order, so there is nothing to shard.
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
   * Tokens, divided by the weight, that a workspace may be ahead of its share after it has been
   * idle. Without it two requests of a small workspace that meet at one target wait for each other
   * as long as its small share takes to pay for the first, however little it uses over all targets.
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
  private long arrivals;

  private FairQueue() {}

  /** Creates an empty queue. */
  public static <T> FairQueue<T> create() {
    return new FairQueue<>();
  }

  /**
   * Adds work.
   *
   * @param work what waits from now on
   * @return false when work with the same id waits already; the queue is then unchanged
   */
  public synchronized boolean offer(QueuedWork<T> work) {
    if (waitingById.containsKey(work.id())) {
      return false;
    }
    WaitingWork<T> waiting = new WaitingWork<>(work, arrivals++);
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
   * Hands out the next work. Work past its deadline is never handed out; it is left for {@link
   * #removeExpired}.
   *
   * @param now the current time
   * @return the work to start, or empty when none waits
   */
  public synchronized Optional<QueuedWork<T>> poll(Instant now) {
    setExpiredAside(now);
    if (backlogged.isEmpty()) {
      return Optional.empty();
    }
    Flow<T> flow = detach(backlogged.first());
    virtualTime = Math.max(virtualTime, flow.start());
    WaitingWork<T> first = flow.takeFirst();
    attach(flow);
    forget(first);
    if (backlogged.isEmpty()) {
      virtualTime = Math.max(virtualTime, idle.last().start() + BURST_TOKENS);
    }
    forgetIdleFlows();
    return Optional.of(first.work());
  }

  /**
   * Whether the next work is urgent: its workspace has used less than its share, so it may take a
   * place that is kept free for such work and be read first by the engine.
   */
  public synchronized boolean isNextUrgent() {
    return !backlogged.isEmpty() && backlogged.first().start() < virtualTime;
  }

  /**
   * Withdraws work that still waits.
   *
   * @param id of the work
   * @return false when no such work waits: it was handed out, has expired or never came
   */
  public synchronized boolean remove(String id) {
    WaitingWork<T> waiting = waitingById.get(id);
    if (waiting == null) {
      return false;
    }
    takeOut(waiting);
    return true;
  }

  /**
   * Takes out all work whose deadline has come. Each piece is returned once.
   *
   * @param now the current time
   * @return the work that will not be handed out any more
   */
  public synchronized List<QueuedWork<T>> removeExpired(Instant now) {
    setExpiredAside(now);
    List<QueuedWork<T>> result = List.copyOf(expired);
    expired.clear();
    return result;
  }

  /**
   * Corrects the charge for work that was handed out. A workspace that used less than estimated is
   * paid back, though it saves up no more than a short burst.
   *
   * @param workspace that the work was charged to
   * @param estimatedTokens what was charged
   * @param actualTokens what the work used
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
    forgetIdleFlows();
  }

  /** Pieces of work that wait. */
  public synchronized int size() {
    return waitingById.size();
  }

  /** Sum of the estimates of the work that waits. */
  public synchronized double queuedTokens() {
    return waitingById.isEmpty() ? 0 : queuedTokens;
  }

  /** Workspaces whose state is kept. */
  synchronized int knownWorkspaces() {
    return flows.size();
  }

  private void setExpiredAside(Instant now) {
    while (!byDeadline.isEmpty() && !byDeadline.first().work().deadline().isAfter(now)) {
      WaitingWork<T> waiting = byDeadline.first();
      takeOut(waiting);
      expired.add(waiting.work());
    }
  }

  private void takeOut(WaitingWork<T> waiting) {
    Flow<T> flow = detach(flows.get(waiting.work().workspace()));
    flow.remove(waiting);
    attach(flow);
    forget(waiting);
    forgetIdleFlows();
  }

  private void forget(WaitingWork<T> waiting) {
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
   * Without this the state grows with every workspace ever seen. A flow whose next start is not
   * ahead of virtual time would start there anyway, so nothing is lost with it; and once the last
   * work is handed out, nobody is behind anybody.
   */
  private void forgetIdleFlows() {
    while (!idle.isEmpty() && idle.first().start() <= virtualTime - BURST_TOKENS) {
      flows.remove(idle.pollFirst().workspace());
    }
  }
}
