package dev.ibishub.gateway.callers;

import dev.ibishub.gateway.model.CallerLimits;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * Requests of one connection that wait until the earlier ones have their responses. Not
 * thread-safe.
 *
 * <p>Bounded in number and in bytes, so that the connection can be read on meanwhile: its close is
 * noticed only behind all that the caller has sent.
 */
final class RequestPipeline {
  /** Maximum number of requests that wait. */
  static final int MAXIMUM_WAITING = 32;

  private final Deque<Turn> turns = new ArrayDeque<>();
  private long waitingBytes;

  /** What happens when the earlier requests have their responses. */
  sealed interface Turn {}

  /** A request to run. */
  record Run(FullHttpRequest request, RequestMemory memory) implements Turn {}

  /** The response to a request that is not run, after which the connection is closed. */
  record Rejection(FullHttpResponse response) implements Turn {}

  /**
   * Whether one more request may wait.
   *
   * @param bodyBytes size of its body as far as known, bytes
   */
  boolean hasRoomFor(long bodyBytes, CallerLimits limits) {
    return turns.size() < MAXIMUM_WAITING && waitingBytes + bodyBytes <= limits.maximumBodyBytes();
  }

  void add(Turn turn) {
    turns.addLast(turn);
    waitingBytes += bytes(turn);
  }

  /** Removes and returns what comes next; empty if nothing waits. */
  Optional<Turn> poll() {
    Optional<Turn> next = Optional.ofNullable(turns.pollFirst());
    next.ifPresent(turn -> waitingBytes -= bytes(turn));
    return next;
  }

  boolean isEmpty() {
    return turns.isEmpty();
  }

  /** Drops and releases all that waits. */
  void clear() {
    turns.forEach(RequestPipeline::release);
    turns.clear();
    waitingBytes = 0;
  }

  /** Releases a turn that does not come. */
  static void release(Turn turn) {
    if (turn instanceof Run run) {
      run.memory().release();
      ReferenceCountUtil.release(run.request());
    } else if (turn instanceof Rejection rejection) {
      ReferenceCountUtil.release(rejection.response());
    }
  }

  private static long bytes(Turn turn) {
    return turn instanceof Run run ? run.request().content().readableBytes() : 0;
  }
}
