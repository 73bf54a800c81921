package dev.ibishub.core;

import dev.ibishub.core.internal.overload.WorkspaceShard;
import dev.ibishub.core.internal.overload.WorkspaceShard.LimitCheck;
import dev.ibishub.core.internal.routing.Seconds;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.DoubleAdder;
import java.util.stream.IntStream;

/**
 * Admission control of an entry: admits each request or refuses it at once. A workspace's rate
 * limits hold over all entries together. Work that is unlikely to finish by its deadline, and work
 * that would wait too long, is refused before it uses any resources. The wait is estimated for each
 * workspace as fair queueing will serve it, so that the backlog of one workspace does not cause
 * requests of others to be refused.
 *
 * <p>Thread-safe: workspaces are spread over shards, each under its own lock.
 *
 * <pre>{@code
 * AdmissionDecision decision = admission.admit(query, now);
 * // if admitted: dispatch, and later, in this order
 * admission.started(workspace, estimatedTokens, now);
 * admission.finished(workspace, estimatedTokens, usedTokens, now);
 * }</pre>
 */
public final class Admission {
  private static final int SHARDS = 32;

  /** Retry delay given with a refusal by the concurrency limit. */
  private static final double CONCURRENCY_RETRY_SECONDS = 0.5;

  /**
   * Fraction by which each priority level above 0 lengthens the longest wait and each one below
   * shortens it.
   */
  private static final double WAIT_FACTOR_PER_PRIORITY = 0.25;

  private static final int HIGHEST_PRIORITY = 4;

  private final AdmissionOptions options;
  private final List<WorkspaceShard> shards;
  private final DoubleAdder waitingTokens = new DoubleAdder();
  private final DoubleAdder waitingWeight = new DoubleAdder();

  private Admission(AdmissionOptions options) {
    this.options = options;
    this.shards =
        IntStream.range(0, SHARDS)
            .mapToObj(number -> new WorkspaceShard(options.burstSeconds()))
            .toList();
  }

  /** Creates an admission control with no admitted requests. */
  public static Admission create(AdmissionOptions options) {
    return new Admission(options);
  }

  /**
   * Decides on a request and charges it to its workspace if it is admitted.
   *
   * @param query the request
   * @param now the current time
   * @return {@code OK}, or {@code WORKSPACE_LIMIT}, {@code DEADLINE_UNREACHABLE} or {@code
   *     OVERLOADED} with the time from which a retry makes sense
   */
  public AdmissionDecision admit(AdmissionQuery query, Instant now) {
    WorkspaceShard shard = shard(query.workspace());
    LimitCheck limitCheck = shard.checkLimits(query.workspace(), query.limits(), now);
    if (!limitCheck.withinRateLimits()) {
      return AdmissionDecision.refused(ResultCode.WORKSPACE_LIMIT, limitCheck.withinRateLimitsAt());
    }
    if (!limitCheck.withinConcurrencyLimit()) {
      return AdmissionDecision.refused(
          ResultCode.WORKSPACE_LIMIT, Seconds.after(now, CONCURRENCY_RETRY_SECONDS));
    }
    double wait = waitSeconds(query, limitCheck, now);
    double slackSeconds = Seconds.between(now, query.deadline()) - query.serviceSeconds();
    if (wait * options.waitMargin() > slackSeconds) {
      return AdmissionDecision.refused(
          ResultCode.DEADLINE_UNREACHABLE,
          Seconds.after(now, wait - Math.max(0, slackSeconds) / options.waitMargin()));
    }
    double longest = longestWait(query.priority());
    if (wait > longest) {
      return AdmissionDecision.refused(ResultCode.OVERLOADED, Seconds.after(now, wait - longest));
    }
    waitingWeight.add(shard.admit(query.workspace(), query.estimatedTokens(), now));
    waitingTokens.add(query.estimatedTokens());
    return AdmissionDecision.ok();
  }

  /**
   * Records that a target started the work of an admitted request.
   *
   * @param workspace workspace of the request
   * @param estimatedTokens estimate from the query
   * @param now the current time
   */
  public void started(String workspace, double estimatedTokens, Instant now) {
    waitingWeight.add(shard(workspace).started(workspace, estimatedTokens, now));
    waitingTokens.add(-estimatedTokens);
  }

  /**
   * Records that an admitted request has ended, and corrects its charge. For a request that never
   * started, call {@link #started} first and pass 0 actual tokens.
   *
   * @param workspace workspace of the request
   * @param estimatedTokens estimate from the query
   * @param actualTokens tokens that the request used
   * @param now the current time
   */
  public void finished(String workspace, double estimatedTokens, double actualTokens, Instant now) {
    shard(workspace).finished(workspace, estimatedTokens, actualTokens, now);
  }

  /**
   * Returns what the workspaces that were active in the last ten seconds have used at this entry.
   * Each peer should get it a few times a second.
   *
   * @param now the current time
   * @return cumulative use since the start of this entry, by workspace
   */
  public Map<String, WorkspaceUse> usage(Instant now) {
    Map<String, WorkspaceUse> result = new HashMap<>();
    shards.forEach(shard -> shard.collectUse(result, now));
    return result;
  }

  /**
   * Charges what a peer's requests have used.
   *
   * @param entry id and incarnation of the peer
   * @param usage result of the peer's {@link #usage}
   * @param now the current time
   */
  public void observePeerUsage(String entry, Map<String, WorkspaceUse> usage, Instant now) {
    usage.forEach((workspace, use) -> shard(workspace).observePeer(entry, workspace, use, now));
  }

  /** Returns the number of workspaces whose state is kept. */
  int knownWorkspaces() {
    return shards.stream().mapToInt(WorkspaceShard::size).sum();
  }

  /**
   * Estimates the wait in seconds. Under fair queueing a workspace waits for its own backlog only,
   * slowed by the shares of the others, and never longer than in first-in, first-out order. An
   * estimate by that order alone would refuse a small workspace because of a large one's backlog.
   */
  private double waitSeconds(AdmissionQuery query, LimitCheck limitCheck, Instant now) {
    double fifoWait = Math.max(0, Seconds.between(now, query.estimatedStart()));
    double weight = query.limits().weight();
    double ownTokens = limitCheck.waitingTokens();
    double allTokens = Math.max(ownTokens, waitingTokens.sum());
    if (allTokens <= 0) {
      return fifoWait;
    }
    double allWeight = Math.max(weight, waitingWeight.sum() + (ownTokens > 0 ? 0 : weight));
    double fairShare = (ownTokens + query.estimatedTokens()) / allTokens * allWeight / weight;
    return fifoWait * Math.min(1, fairShare);
  }

  private double longestWait(int priority) {
    int bounded = Math.max(-HIGHEST_PRIORITY + 1, Math.min(HIGHEST_PRIORITY, priority));
    return options.longestWaitSeconds() * (1 + WAIT_FACTOR_PER_PRIORITY * bounded);
  }

  private WorkspaceShard shard(String workspace) {
    return shards.get(Math.floorMod(workspace.hashCode(), SHARDS));
  }
}
