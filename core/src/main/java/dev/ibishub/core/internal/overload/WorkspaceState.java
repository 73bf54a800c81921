package dev.ibishub.core.internal.overload;

import dev.ibishub.core.WorkspaceLimits;
import dev.ibishub.core.WorkspaceUse;
import dev.ibishub.core.internal.routing.Seconds;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * One entry's state of one workspace: rate limits, use and work in flight. Not thread-safe: guarded
 * by the lock of its shard.
 */
final class WorkspaceState {
  private final SharedTokenBucket requests;
  private final SharedTokenBucket tokens;
  private final Map<String, WorkspaceUse> peerUse = new HashMap<>();
  private WorkspaceUse ownUse = WorkspaceUse.NONE;
  private int running;
  private double waitingTokens;
  private double weight = 1;
  private Instant touchedAt;
  private Instant usedAt = Instant.MIN;

  WorkspaceState(Instant now) {
    requests = new SharedTokenBucket(now);
    tokens = new SharedTokenBucket(now);
    touchedAt = now;
  }

  void touch(Instant now) {
    touchedAt = now;
  }

  Instant touchedAt() {
    return touchedAt;
  }

  boolean wasUsedWithin(double seconds, Instant now) {
    return !usedAt.equals(Instant.MIN) && Seconds.between(usedAt, now) <= seconds;
  }

  void refill(WorkspaceLimits limits, double burstSeconds, Instant now) {
    weight = limits.weight();
    requests.refill(limits.requestsPerSecond(), burstSeconds, now);
    tokens.refill(limits.tokensPerSecond(), burstSeconds, now);
  }

  boolean isWithinRateLimits() {
    return requests.hasCredit() && tokens.hasCredit();
  }

  /** Returns when both rate limits allow requests again. */
  Instant withinRateLimitsAt(Instant now) {
    Instant requestsAt = requests.creditAt(now);
    Instant tokensAt = tokens.creditAt(now);
    return requestsAt.isAfter(tokensAt) ? requestsAt : tokensAt;
  }

  void admit(double estimatedTokens) {
    requests.take(1);
    tokens.take(estimatedTokens);
    ownUse = new WorkspaceUse(ownUse.requests() + 1, ownUse.tokens() + estimatedTokens);
    running++;
    usedAt = touchedAt;
    waitingTokens += estimatedTokens;
  }

  void started(double estimatedTokens) {
    waitingTokens = Math.max(0, waitingTokens - estimatedTokens);
  }

  void finished(double estimatedTokens, double actualTokens) {
    running = Math.max(0, running - 1);
    waitingTokens = running == 0 ? 0 : waitingTokens;
    usedAt = touchedAt;
    double correction = actualTokens - estimatedTokens;
    ownUse = new WorkspaceUse(ownUse.requests(), ownUse.tokens() + correction);
    tokens.take(correction);
  }

  /**
   * Charges what a peer used since its last report. A lower request count than before means that
   * the peer restarted and counts from zero.
   */
  void observePeer(String peer, WorkspaceUse use) {
    WorkspaceUse before = peerUse.put(peer, use);
    boolean restarted = before != null && use.requests() < before.requests();
    WorkspaceUse base = before == null || restarted ? WorkspaceUse.NONE : before;
    requests.take(use.requests() - base.requests());
    tokens.take(use.tokens() - base.tokens());
  }

  WorkspaceUse ownUse() {
    return ownUse;
  }

  int running() {
    return running;
  }

  double waitingTokens() {
    return waitingTokens;
  }

  /** Returns the workspace's weight while it has waiting work, else 0. */
  double waitingWeight() {
    return waitingTokens > 0 ? weight : 0;
  }
}
