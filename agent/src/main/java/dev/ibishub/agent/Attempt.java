package dev.ibishub.agent;

import dev.ibishub.core.AnswerEnd;
import dev.ibishub.core.StreamBuffer;
import dev.ibishub.wire.Link;
import dev.ibishub.wire.generated.Dispatch;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * An attempt that this agent accepted: its request, its answer so far, and the entry reading it.
 */
final class Attempt {
  private final Dispatch dispatch;
  private final Instant deadline;
  private final StreamBuffer buffer;
  private final CompletableFuture<AnswerEnd> done = new CompletableFuture<>();
  private AnswerRelay relay;
  private Instant orphanedAt;
  private boolean cancelled;

  Attempt(Dispatch dispatch, StreamBuffer buffer, AnswerRelay relay) {
    this.dispatch = dispatch;
    this.deadline = Instant.ofEpochMilli(dispatch.getDeadlineMillis());
    this.buffer = buffer;
    this.relay = relay;
  }

  String id() {
    return dispatch.getAttemptId();
  }

  Dispatch dispatch() {
    return dispatch;
  }

  Instant deadline() {
    return deadline;
  }

  StreamBuffer buffer() {
    return buffer;
  }

  /** Returns a future of the answer's end; it never fails. */
  CompletableFuture<AnswerEnd> done() {
    return done;
  }

  /** Tells the reader that the attempt has started and can no longer be revoked. */
  void sendStarted() {
    withRelay(AnswerRelay::sendStarted);
  }

  /** Appends a piece of the answer to the buffer and sends what the reader's credit allows. */
  void append(long number, String text) {
    append(number, text.getBytes(StandardCharsets.UTF_8));
  }

  void append(long number, byte[] data) {
    buffer.append(number, data);
    withRelay(AnswerRelay::pump);
  }

  /** Ends the answer; only the first call has an effect. */
  void end(AnswerEnd end) {
    buffer.end(end);
    done.complete(end);
    withRelay(AnswerRelay::pump);
  }

  /** Switches the answer to another reader; the previous one gets nothing more. */
  void relayTo(AnswerRelay next) {
    synchronized (this) {
      relay = next;
      orphanedAt = null;
    }
    next.pump();
  }

  void credit(int chunks) {
    withRelay(current -> current.credit(chunks));
  }

  /** Removes the reader if it is on this closed link, and returns whether it was. */
  synchronized boolean detachReader(Link link, Instant now) {
    if (relay == null || relay.link() != link) {
      return false;
    }
    relay = null;
    orphanedAt = now;
    return true;
  }

  /** Returns whether no other entry reads the answer. */
  synchronized boolean mayBeCancelledBy(Link link) {
    return relay == null || relay.link() == link;
  }

  /** Returns since when the answer has had no reader, or empty if it has one. */
  synchronized Optional<Instant> orphanedAt() {
    return Optional.ofNullable(orphanedAt);
  }

  synchronized void cancel() {
    cancelled = true;
  }

  synchronized boolean isCancelled() {
    return cancelled;
  }

  /**
   * Returns whether the attempt is done and no caller still needs its answer.
   *
   * @param orphanedBefore an attempt without a reader counts as settled only if it lost its reader
   *     before this time; after that, its caller may still resume through another entry
   */
  synchronized boolean isSettled(Instant orphanedBefore) {
    if (!done.isDone()) {
      return false;
    }
    return cancelled || (relay == null ? orphanedAt.isBefore(orphanedBefore) : relay.isFinished());
  }

  private void withRelay(Consumer<AnswerRelay> action) {
    AnswerRelay current;
    synchronized (this) {
      current = relay;
    }
    if (current != null) {
      action.accept(current);
    }
  }
}
