package dev.ibishub.agent;

import dev.ibishub.core.AnswerEnd;
import dev.ibishub.core.ClaimRequest;
import dev.ibishub.core.ClaimResult;
import dev.ibishub.core.IdempotencyKey;
import dev.ibishub.core.NumberedChunk;
import dev.ibishub.core.Outcome;
import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import dev.ibishub.core.StreamBuffer;
import dev.ibishub.core.StreamBuffers;
import dev.ibishub.engines.PlainService;
import dev.ibishub.engines.ServiceAnswer;
import dev.ibishub.engines.ServiceRequest;
import dev.ibishub.wire.AnswerEnds;
import dev.ibishub.wire.ClaimHolderHeader;
import dev.ibishub.wire.generated.ServiceCall;
import java.time.InstantSource;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.IntStream;

/**
 * Runs attempts on the agent's plain service. A call that must not be repeated is claimed on the
 * log first; if it was claimed before, it gets the answer of the attempt that ran it.
 */
final class ServiceBackend implements Backend {
  private static final int CHUNK_BYTES = 32 * 1024;
  private static final int ALL_CHUNKS = Integer.MAX_VALUE;

  private final PlainService service;
  private final ClaimWriter claims;
  private final StreamBuffers buffers;
  private final InstantSource clock;
  private final Map<String, Attempt> running = new ConcurrentHashMap<>();
  private final Map<String, CompletableFuture<ServiceAnswer>> repeatableCalls =
      new ConcurrentHashMap<>();

  ServiceBackend(
      PlainService service, ClaimWriter claims, StreamBuffers buffers, InstantSource clock) {
    this.service = service;
    this.claims = claims;
    this.buffers = buffers;
    this.clock = clock;
  }

  @Override
  public CompletableFuture<AnswerEnd> run(Attempt attempt) {
    ServiceCall call = attempt.dispatch().getServiceCall();
    if (call.getMayBeRepeated()) {
      return runRepeatable(attempt);
    }
    try {
      return runOnce(attempt, claimOf(attempt, call));
    } catch (ResultException malformed) {
      return CompletableFuture.failedFuture(malformed);
    }
  }

  /**
   * Closes the connection of a call that may be repeated. Any other call goes on, as a caller that
   * comes back with its idempotency key gets the answer.
   */
  @Override
  public void cancel(Attempt attempt) {
    Optional.ofNullable(repeatableCalls.get(attempt.id())).ifPresent(call -> call.cancel(true));
  }

  private CompletableFuture<AnswerEnd> runRepeatable(Attempt attempt) {
    CompletableFuture<ServiceAnswer> answer = service.call(request(attempt));
    repeatableCalls.put(attempt.id(), answer);
    answer.whenComplete((unused, thrown) -> repeatableCalls.remove(attempt.id()));
    if (attempt.isCancelled()) {
      answer.cancel(true);
    }
    return answer.thenApply(whole -> appendAnswer(attempt, whole));
  }

  private CompletableFuture<AnswerEnd> runOnce(Attempt attempt, ClaimRequest request) {
    return claims
        .claim(request)
        .thenCompose(
            result -> {
              if (result instanceof ClaimResult.RunningHere here) {
                return copyAnswerOf(here.attemptId(), attempt);
              }
              if (result instanceof ClaimResult.FinishedHere finished) {
                return copyAnswerOf(finished.attemptId(), attempt);
              }
              if (result instanceof ClaimResult.HeldBy held) {
                return CompletableFuture.completedFuture(
                    ClaimHolderHeader.alreadyRunning(held.holder()));
              }
              return runClaimed(attempt, request);
            });
  }

  private CompletableFuture<AnswerEnd> runClaimed(Attempt attempt, ClaimRequest request) {
    // The claim may have taken long, or this process may have been paused. A call started now would
    // run after its caller was told that the deadline has passed, so its claim is released.
    if (attempt.isCancelled() || !clock.instant().isBefore(attempt.deadline())) {
      claims.notStarted(request.claimKey(), attempt.id());
      return CompletableFuture.failedFuture(
          new ResultException(
              ResultCode.DEADLINE_PASSED_QUEUED, "the deadline passed before the start"));
    }
    running.put(attempt.id(), attempt);
    CompletableFuture<AnswerEnd> answer = call(attempt);
    answer.whenComplete((end, thrown) -> settleClaim(attempt, request, thrown));
    return answer;
  }

  private void settleClaim(Attempt attempt, ClaimRequest request, Throwable thrown) {
    if (provesNotRun(thrown)) {
      claims.notStarted(request.claimKey(), attempt.id());
      running.remove(attempt.id());
      return;
    }
    attempt
        .done()
        .thenRun(
            () -> {
              claims.finished(request.claimKey(), attempt.id());
              running.remove(attempt.id());
            });
  }

  private CompletableFuture<AnswerEnd> call(Attempt attempt) {
    return service.call(request(attempt)).thenApply(answer -> appendAnswer(attempt, answer));
  }

  private static AnswerEnd appendAnswer(Attempt attempt, ServiceAnswer answer) {
    byte[] body = answer.body();
    int chunks = (body.length + CHUNK_BYTES - 1) / CHUNK_BYTES;
    IntStream.range(0, chunks)
        .forEach(
            number ->
                attempt.append(
                    number,
                    Arrays.copyOfRange(
                        body,
                        number * CHUNK_BYTES,
                        Math.min(body.length, (number + 1) * CHUNK_BYTES))));
    return new AnswerEnd(
        ResultCode.OK, "", 0, 0, Optional.empty(), 1, answer.status(), answer.headers());
  }

  /** Copies the answer of the attempt that ran the call, once that attempt has ended. */
  private CompletableFuture<AnswerEnd> copyAnswerOf(String sourceAttemptId, Attempt attempt) {
    Optional<StreamBuffer> buffer = buffers.find(sourceAttemptId);
    if (buffer.isEmpty()) {
      return CompletableFuture.failedFuture(
          new ResultException(
              ResultCode.ANSWER_NO_LONGER_KEPT, "the call ran before, its answer is gone"));
    }
    CompletableFuture<?> ended =
        Optional.ofNullable(running.get(sourceAttemptId))
            .map(Attempt::done)
            .orElseGet(() -> CompletableFuture.completedFuture(null));
    return ended.thenApply(unused -> copy(buffer.get(), attempt));
  }

  private static AnswerEnd copy(StreamBuffer from, Attempt to) {
    List<NumberedChunk> chunks = from.read(0, ALL_CHUNKS);
    chunks.forEach(chunk -> to.append(chunk.number(), chunk.data()));
    return from.ending()
        .orElseThrow(
            () ->
                new ResultException(
                    ResultCode.ALREADY_RUNNING, "the call runs and its answer is not here yet"));
  }

  private static boolean provesNotRun(Throwable thrown) {
    Throwable cause = thrown instanceof CompletionException ? thrown.getCause() : thrown;
    return cause instanceof ResultException failure && failure.code().outcome() == Outcome.NOT_RUN;
  }

  private static ClaimRequest claimOf(Attempt attempt, ServiceCall call) {
    long fingerprint =
        ClaimRequest.fingerprintOf(
            call.getService(),
            call.getMethod(),
            call.getPathAndQuery(),
            call.getBody().toByteArray());
    return new ClaimRequest(
        attempt.dispatch().getWorkspace(),
        IdempotencyKey.parse(call.getIdempotencyKey()),
        fingerprint,
        attempt.id(),
        attempt.deadline());
  }

  private static ServiceRequest request(Attempt attempt) {
    ServiceCall call = attempt.dispatch().getServiceCall();
    return new ServiceRequest(
        attempt.dispatch().getRequestId(),
        call.getMethod(),
        call.getPathAndQuery(),
        AnswerEnds.headersFromWire(call.getHeadersList()),
        call.getBody().toByteArray(),
        attempt.deadline());
  }
}
