package dev.ibishub.core.internal.overload;

import dev.ibishub.core.WorkspaceLimits;
import dev.ibishub.core.WorkspaceUse;
import dev.ibishub.core.internal.routing.Seconds;
import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The workspaces whose names hash to one shard of an admission control. Later calls evict the state
 * of workspaces that were idle for 60 seconds. Thread-safe by one lock.
 */
public final class WorkspaceShard {
  private static final double IDLE_EVICTION_SECONDS = 60;
  private static final double REPORT_ACTIVE_WITHIN_SECONDS = 10;

  private final Map<String, WorkspaceState> states = new LinkedHashMap<>(16, 0.75f, true);
  private final double burstSeconds;

  /**
   * Creates an empty shard.
   *
   * @param burstSeconds number of seconds of its rate limits that a workspace may use at once
   */
  public WorkspaceShard(double burstSeconds) {
    this.burstSeconds = burstSeconds;
  }

  /** Refills the rate limits of a workspace and compares its use with all its limits. */
  public synchronized LimitCheck checkLimits(
      String workspace, WorkspaceLimits limits, Instant now) {
    WorkspaceState state = touch(workspace, now);
    state.refill(limits, burstSeconds, now);
    return new LimitCheck(
        state.isWithinRateLimits(),
        state.withinRateLimitsAt(now),
        state.running() < limits.concurrent(),
        state.waitingTokens());
  }

  /** Charges an admitted request; returns the change in the total weight of waiting workspaces. */
  public synchronized double admit(String workspace, double estimatedTokens, Instant now) {
    WorkspaceState state = touch(workspace, now);
    double before = state.waitingWeight();
    state.admit(estimatedTokens);
    return state.waitingWeight() - before;
  }

  /**
   * Records that a target started the work; returns the change in the total weight of waiting
   * workspaces.
   */
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

  /** Charges the use that a peer reports. */
  public synchronized void observePeer(
      String peer, String workspace, WorkspaceUse use, Instant now) {
    touch(workspace, now).observePeer(peer, use);
  }

  /** Adds to the result the use of each workspace that was active in the last 10 seconds. */
  public synchronized void collectUse(Map<String, WorkspaceUse> result, Instant now) {
    states.forEach(
        (workspace, state) -> {
          if (state.wasUsedWithin(REPORT_ACTIVE_WITHIN_SECONDS, now)) {
            result.put(workspace, state.ownUse());
          }
        });
  }

  /** Returns the number of workspaces whose state is kept. */
  public synchronized int size() {
    return states.size();
  }

  private WorkspaceState touch(String workspace, Instant now) {
    evictIdle(now);
    WorkspaceState state = states.computeIfAbsent(workspace, name -> new WorkspaceState(now));
    state.touch(now);
    return state;
  }

  private void evictIdle(Instant now) {
    Iterator<WorkspaceState> leastRecentFirst = states.values().iterator();
    while (leastRecentFirst.hasNext()) {
      WorkspaceState leastRecent = leastRecentFirst.next();
      if (leastRecent.running() > 0
          || Seconds.between(leastRecent.touchedAt(), now) < IDLE_EVICTION_SECONDS) {
        return;
      }
      leastRecentFirst.remove();
    }
  }

  /**
   * A workspace's use compared with its limits.
   *
   * @param withinRateLimits whether its rate limits allow a request now
   * @param withinRateLimitsAt when they do
   * @param withinConcurrencyLimit whether it may have one more request in flight
   * @param waitingTokens estimated tokens of its admitted work that has not started
   */
  public record LimitCheck(
      boolean withinRateLimits,
      Instant withinRateLimitsAt,
      boolean withinConcurrencyLimit,
      double waitingTokens) {}
}
