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

/** One attempt that this agent took: what was asked, the answer so far, and who reads it. */
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

  /** Completed with the end of the answer, never exceptionally. */
  CompletableFuture<AnswerEnd> done() {
    return done;
  }

  /** Tells the reader that the attempt can no longer be withdrawn. */
  void sendStarted() {
    withRelay(AnswerRelay::sendStarted);
  }

  /** Adds a piece of the answer and passes it on. */
  void append(long number, String text) {
    append(number, text.getBytes(StandardCharsets.UTF_8));
  }

  void append(long number, byte[] data) {
    buffer.append(number, data);
    withRelay(AnswerRelay::pump);
  }

  /** Ends the answer; only the first end counts. */
  void end(AnswerEnd end) {
    buffer.end(end);
    done.complete(end);
    withRelay(AnswerRelay::pump);
  }

  /** Lets another entry read on; the one before gets nothing more. */
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

  /** Notes that a link closed; returns whether this attempt's answer went there. */
  synchronized boolean orphanedBy(Link link, Instant now) {
    if (relay == null || relay.link() != link) {
      return false;
    }
    relay = null;
    orphanedAt = now;
    return true;
  }

  /** Whether no other entry reads the answer. */
  synchronized boolean mayBeCancelledBy(Link link) {
    return relay == null || relay.link() == link;
  }

  /** Since when nobody reads the answer. */
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
   * Whether nobody waits for anything of this attempt any more.
   *
   * @param orphanedBefore whoever lost its reader later may yet come back through another entry
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
