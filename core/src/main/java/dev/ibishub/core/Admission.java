package dev.ibishub.core;

import dev.ibishub.core.internal.overload.WorkspaceShard;
import dev.ibishub.core.internal.overload.WorkspaceShard.Standing;
import dev.ibishub.core.internal.routing.Seconds;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.DoubleAdder;
import java.util.stream.IntStream;

/**
 * Lets requests in at an entry or refuses them at once. A workspace is held to its limits over all
 * entries together; work that cannot finish by its deadline and work that would wait too long is
 * refused before it costs anything. The wait is judged for each workspace as fair queueing will
 * serve it, so that the backlog of one that floods does not get the others refused.
 *
 * <p>Thread-safe in shards by workspace, each under its own lock.
 *
 * <pre>{@code
 * AdmissionDecision decision = admission.admit(query, now);
 * // let in: dispatch, and later, in this order
 * admission.started(workspace, estimatedTokens, now);
 * admission.finished(workspace, estimatedTokens, usedTokens, now);
 * }</pre>
 */
public final class Admission {
  private static final int SHARDS = 32;
  private static final double CONCURRENCY_RETRY_SECONDS = 0.5;
  private static final double WAIT_SHARE_OF_PRIORITY = 0.25;
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

  /** Creates an admission that has let nothing in. */
  public static Admission create(AdmissionOptions options) {
    return new Admission(options);
  }

  /**
   * Decides on a request and charges it if it is let in.
   *
   * @param query the request
   * @param now the current time
   * @return {@code OK}, or {@code WORKSPACE_LIMIT}, {@code DEADLINE_UNREACHABLE} or {@code
   *     OVERLOADED} with the time to come back
   */
  public AdmissionDecision admit(AdmissionQuery query, Instant now) {
    WorkspaceShard shard = shard(query.workspace());
    Standing standing = shard.standing(query.workspace(), query.limits(), now);
    if (!standing.withinRates()) {
      return AdmissionDecision.refused(ResultCode.WORKSPACE_LIMIT, standing.withinRatesAt());
    }
    if (!standing.withinConcurrency()) {
      return AdmissionDecision.refused(
          ResultCode.WORKSPACE_LIMIT, Seconds.after(now, CONCURRENCY_RETRY_SECONDS));
    }
    double wait = waitSeconds(query, standing, now);
    double room = Seconds.between(now, query.deadline()) - query.serviceSeconds();
    if (wait * options.waitMargin() > room) {
      return AdmissionDecision.refused(
          ResultCode.DEADLINE_UNREACHABLE,
          Seconds.after(now, wait - Math.max(0, room) / options.waitMargin()));
    }
    double longest = longestWait(query.priority());
    if (wait > longest) {
      return AdmissionDecision.refused(ResultCode.OVERLOADED, Seconds.after(now, wait - longest));
    }
    waitingWeight.add(shard.admit(query.workspace(), query.estimatedTokens(), now));
    waitingTokens.add(query.estimatedTokens());
    return AdmissionDecision.letIn();
  }

  /**
   * Notes that a target started the work of a request that was let in.
   *
   * @param workspace of the request
   * @param estimatedTokens as in the query
   * @param now the current time
   */
  public void started(String workspace, double estimatedTokens, Instant now) {
    waitingWeight.add(shard(workspace).started(workspace, estimatedTokens, now));
    waitingTokens.add(-estimatedTokens);
  }

  /**
   * Notes that a request that was let in has ended, and corrects its charge. For a request that
   * never started, {@link #started} is called first and the actual tokens are 0.
   *
   * @param workspace of the request
   * @param estimatedTokens as in the query
   * @param actualTokens what it used
   * @param now the current time
   */
  public void finished(String workspace, double estimatedTokens, double actualTokens, Instant now) {
    shard(workspace).finished(workspace, estimatedTokens, actualTokens, now);
  }

  /**
   * What the workspaces that were active in the last ten seconds have used here, for the peers. To
   * be sent to each of them a few times a second.
   *
   * @param now the current time
   * @return use since the start of this entry, by workspace
   */
  public Map<String, WorkspaceUse> usage(Instant now) {
    Map<String, WorkspaceUse> result = new HashMap<>();
    shards.forEach(shard -> shard.collectUse(result, now));
    return result;
  }

  /**
   * Charges what a peer has used.
   *
   * @param entry id and incarnation of the peer
   * @param usage what its {@link #usage} gave
   * @param now the current time
   */
  public void observePeerUsage(String entry, Map<String, WorkspaceUse> usage, Instant now) {
    usage.forEach((workspace, use) -> shard(workspace).observePeer(entry, workspace, use, now));
  }

  /** Workspaces whose state is kept. */
  int knownWorkspaces() {
    return shards.stream().mapToInt(WorkspaceShard::size).sum();
  }

  /**
   * With fair queueing a workspace waits for its own backlog, slowed by the others' shares, and
   * never longer than in the order of arrival. Judged by the order of arrival, a small workspace
   * would be refused for the backlog of a large one.
   */
  private double waitSeconds(AdmissionQuery query, Standing standing, Instant now) {
    double inOrderOfArrival = Math.max(0, Seconds.between(now, query.estimatedStart()));
    double weight = query.limits().weight();
    double own = standing.waitingTokens();
    double all = Math.max(own, waitingTokens.sum());
    if (all <= 0) {
      return inOrderOfArrival;
    }
    double allWeight = Math.max(weight, waitingWeight.sum() + (own > 0 ? 0 : weight));
    double fairShare = (own + query.estimatedTokens()) / all * allWeight / weight;
    return inOrderOfArrival * Math.min(1, fairShare);
  }

  private double longestWait(int priority) {
    int bounded = Math.max(-HIGHEST_PRIORITY + 1, Math.min(HIGHEST_PRIORITY, priority));
    return options.longestWaitSeconds() * (1 + WAIT_SHARE_OF_PRIORITY * bounded);
  }

  private WorkspaceShard shard(String workspace) {
    return shards.get(Math.floorMod(workspace.hashCode(), SHARDS));
  }
}
