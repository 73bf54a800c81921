package dev.ibishub.core.internal.overload;

import dev.ibishub.core.WorkspaceLimits;
import dev.ibishub.core.WorkspaceUse;
import dev.ibishub.core.internal.routing.Seconds;
import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The workspaces whose names hash to one shard. State of a workspace that has been idle for a while
 * is dropped by later calls. Thread-safe by one lock.
 */
public final class WorkspaceShard {
  private static final double FORGET_AFTER_SECONDS = 60;
  private static final double REPORT_FOR_SECONDS = 10;

  private final Map<String, WorkspaceState> states = new LinkedHashMap<>(16, 0.75f, true);
  private final double burstSeconds;

  /** Creates an empty shard whose workspaces may use so many seconds of their limits at once. */
  public WorkspaceShard(double burstSeconds) {
    this.burstSeconds = burstSeconds;
  }

  /** What an admission needs to know of a workspace before it decides. */
  public synchronized Standing standing(String workspace, WorkspaceLimits limits, Instant now) {
    WorkspaceState state = touch(workspace, now);
    state.refill(limits, burstSeconds, now);
    return new Standing(
        state.isWithinRates(),
        state.withinRatesAt(now),
        state.running() < limits.concurrent(),
        state.waitingTokens());
  }

  /** Charges a request that was let in; returns the change of the weight that waits. */
  public synchronized double admit(String workspace, double estimatedTokens, Instant now) {
    WorkspaceState state = touch(workspace, now);
    double before = state.waitingWeight();
    state.admit(estimatedTokens);
    return state.waitingWeight() - before;
  }

  /** Notes that a target started the work; returns the change of the weight that waits. */
  public synchronized double started(String workspace, double estimatedTokens, Instant now) {
    WorkspaceState state = touch(workspace, now);
    double before = state.waitingWeight();
    state.started(estimatedTokens);
    return state.waitingWeight() - before;
  }

  /** Corrects the charge of a request that has ended. */
  public synchronized void finished(
      String workspace, double estimatedTokens, double actualTokens, Instant now) {
    touch(workspace, now).finished(estimatedTokens, actualTokens);
  }

  /** Charges what a peer reports. */
  public synchronized void observePeer(
      String peer, String workspace, WorkspaceUse use, Instant now) {
    touch(workspace, now).observePeer(peer, use);
  }

  /** Adds the use of each workspace that used something lately. */
  public synchronized void collectUse(Map<String, WorkspaceUse> result, Instant now) {
    states.forEach(
        (workspace, state) -> {
          if (state.wasUsedWithin(REPORT_FOR_SECONDS, now)) {
            result.put(workspace, state.ownUse());
          }
        });
  }

  /** Workspaces whose state is kept. */
  public synchronized int size() {
    return states.size();
  }

  private WorkspaceState touch(String workspace, Instant now) {
    forgetIdle(now);
    WorkspaceState state = states.computeIfAbsent(workspace, name -> new WorkspaceState(now));
    state.touch(now);
    return state;
  }

  private void forgetIdle(Instant now) {
    Iterator<WorkspaceState> oldestFirst = states.values().iterator();
    while (oldestFirst.hasNext()) {
      WorkspaceState oldest = oldestFirst.next();
      if (oldest.running() > 0 || Seconds.between(oldest.touchedAt(), now) < FORGET_AFTER_SECONDS) {
        return;
      }
      oldestFirst.remove();
    }
  }

  /**
   * How a workspace stands.
   *
   * @param withinRates whether its rates have room
   * @param withinRatesAt when they have
   * @param withinConcurrency whether it may run one more request
   * @param waitingTokens estimate of its work that was let in and has not started
   */
  public record Standing(
      boolean withinRates,
      Instant withinRatesAt,
      boolean withinConcurrency,
      double waitingTokens) {}
}
