package dev.ibishub.agent;

import dev.ibishub.core.ClaimKey;
import dev.ibishub.core.ClaimRequest;
import dev.ibishub.core.ClaimResult;
import dev.ibishub.core.ProcessIncarnation;
import dev.ibishub.outbound.AppendOnlyLog;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

/**
 * Claims calls that may run once only, on the log, before this agent starts them.
 *
 * <p>Claims that come while an append is under way share the next one. A claim counts only when it
 * was read back in the log's order: the answer of an append may be lost, and another agent's claim
 * of the same key may stand before it. When the log is down a claim is refused with {@code
 * LOG_UNAVAILABLE} and the call is not run; should the claim turn up on the log later, it is this
 * agent's and idle, so the caller's next try here still runs the call once.
 *
 * <p>Thread-safe. Keys are spread over buckets, each with its own stream, ledger and lock.
 *
 * <pre>{@code
 * writer.claim(request).thenAccept(result -> {
 *   if (result instanceof ClaimResult.Won && attempts.tryStart(attemptId, clock.instant())) {
 *     service.call(call).whenComplete((a, e) -> writer.finished(request.claimKey(), attemptId));
 *   }
 * });
 * }</pre>
 */
public final class ClaimWriter implements AutoCloseable {
  private final List<ClaimBucket> buckets;

  private ClaimWriter(List<ClaimBucket> buckets) {
    this.buckets = buckets;
  }

  /**
   * Creates a writer and starts to read the claim streams.
   *
   * @param log the log service
   * @param self this run of this process; the incarnation must be new at each start
   * @param options how to use the log
   * @param clock the time
   * @param timer runs what is to be done later
   * @return the writer; it refuses claims with {@code NOT_READY} until it has read each stream as
   *     far as it went at the start
   */
  public static ClaimWriter start(
      AppendOnlyLog log,
      ProcessIncarnation self,
      ClaimWriterOptions options,
      InstantSource clock,
      Timer timer) {
    List<ClaimBucket> buckets =
        IntStream.range(0, options.buckets())
            .mapToObj(
                number -> new ClaimBucket("claims-" + number, log, self, options, clock, timer))
            .toList();
    buckets.forEach(ClaimBucket::read);
    return new ClaimWriter(buckets);
  }

  /**
   * Claims a call.
   *
   * @param request the claim
   * @return the result; fails with {@code NOT_READY} or {@code LOG_UNAVAILABLE} (not run, with a
   *     time to retry), {@code MALFORMED_REQUEST}, {@code IDEMPOTENCY_KEY_REUSED}, or {@code
   *     IDEMPOTENCY_KEY_EXPIRED}
   */
  public CompletableFuture<ClaimResult> claim(ClaimRequest request) {
    return bucket(request.claimKey()).claim(request);
  }

  /**
   * Gives a won call back that was surely not started: revoked, or past its deadline.
   *
   * @param key the key of the call
   * @param attemptId the attempt that had won it
   */
  public void notStarted(ClaimKey key, String attemptId) {
    bucket(key).notStarted(key, attemptId);
  }

  /**
   * Notes the end of a won call. To be called after the answer's buffer was ended.
   *
   * @param key the key of the call
   * @param attemptId the attempt that ran it
   */
  public void finished(ClaimKey key, String attemptId) {
    bucket(key).finished(key, attemptId);
  }

  /**
   * Says whether the streams have been read as far as they went at the start.
   *
   * @return whether claims are taken
   */
  public boolean isReady() {
    return buckets.stream().allMatch(ClaimBucket::isReady);
  }

  /** Stops reading; waiting claims are refused as their patience ends. */
  @Override
  public void close() {
    buckets.forEach(ClaimBucket::close);
  }

  private ClaimBucket bucket(ClaimKey key) {
    return buckets.get(key.bucket(buckets.size()));
  }
}
