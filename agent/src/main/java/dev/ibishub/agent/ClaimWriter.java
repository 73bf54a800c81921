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
 * Claims calls that must run at most once, on the append-only log, before this agent starts them.
 *
 * <p>Claims that arrive while an append is in flight are batched into the next one. A claim is
 * decided only when it has been read back in log order, because the answer of an append may be lost
 * and another agent's claim of the same key may precede it. While the log is down, claims are
 * refused with {@code LOG_UNAVAILABLE} and the calls are not run. If such a claim appears on the
 * log later, this agent owns it and has not used it, so the caller's retry here still runs the call
 * once.
 *
 * <p>Thread-safe. Keys are hashed to buckets, each with its own stream, ledger and lock.
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
   * Creates a writer and starts reading the claim streams.
   *
   * @param log the log service
   * @param self the identity of this process; the incarnation must be new at each start
   * @param options how to use the log
   * @param clock the source of the current time
   * @param timer schedules retries, reads and timeouts
   * @return the writer; it refuses claims with {@code NOT_READY} until it has read each stream up
   *     to the end that the stream had at the start
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
   * @return the result; fails with {@code NOT_READY} or {@code LOG_UNAVAILABLE} (call not run, with
   *     a time to retry), {@code MALFORMED_REQUEST}, {@code IDEMPOTENCY_KEY_REUSED}, or {@code
   *     IDEMPOTENCY_KEY_EXPIRED}
   */
  public CompletableFuture<ClaimResult> claim(ClaimRequest request) {
    return bucket(request.claimKey()).claim(request);
  }

  /**
   * Releases the claim of a call that was certainly not started, because its attempt was revoked or
   * its deadline passed.
   *
   * @param key the key of the call
   * @param attemptId the attempt that won the claim
   */
  public void notStarted(ClaimKey key, String attemptId) {
    bucket(key).notStarted(key, attemptId);
  }

  /**
   * Records the end of a claimed call. Must be called after the answer's buffer has been ended.
   *
   * @param key the key of the call
   * @param attemptId the attempt that ran it
   */
  public void finished(ClaimKey key, String attemptId) {
    bucket(key).finished(key, attemptId);
  }

  /**
   * Returns whether each stream has been read up to the end that it had at the start.
   *
   * @return whether claims are accepted
   */
  public boolean isReady() {
    return buckets.stream().allMatch(ClaimBucket::isReady);
  }

  /** Stops reading the log; pending claims are refused when their time limit is reached. */
  @Override
  public void close() {
    buckets.forEach(ClaimBucket::close);
  }

  private ClaimBucket bucket(ClaimKey key) {
    return buckets.get(key.bucket(buckets.size()));
  }
}
