package dev.ibishub.core.serving;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * What a caller has received so far of the response to its request, and what may follow it. Another
 * target's response may follow only where the first one can be continued exactly: after nothing, or
 * after whole events of a stream that may be resumed after the last one's id. Immutable.
 *
 * <pre>{@code
 * DeliveredResponse delivered = DeliveredResponse.nothing(OptionalLong.empty());
 * delivered = delivered.withEvent(OptionalLong.of(7));
 * delivered.mayBeContinued(RequestKind.RESUMABLE_STREAM); // true, after event 7
 * delivered.mayBeContinued(RequestKind.IDEMPOTENT); // false
 * }</pre>
 *
 * @param extent how much was received
 * @param lastEventId id of the last event that the caller has, also from an earlier response that
 *     it resumes; empty for none
 */
public record DeliveredResponse(Extent extent, OptionalLong lastEventId) {
  /** How much of a response a caller has received. */
  public enum Extent {
    /** Nothing, so any response may follow. */
    NOTHING,
    /** The start of a stream of events, and whole events of it, the last of which has an id. */
    EVENTS,
    /** A part with no position to resume at: of a body, or events up to one without an id. */
    PART
  }

  /** What to do with an event of an attempt's response. */
  public enum EventOrder {
    /** It follows what the caller has. */
    NEXT,
    /** The caller has it already. */
    REPEATED,
    /** It doesn't follow, or nothing says that it does. */
    GAP
  }

  /** Checks that no component is null. */
  public DeliveredResponse {
    Objects.requireNonNull(extent);
    Objects.requireNonNull(lastEventId);
  }

  /**
   * Returns the state before the first byte.
   *
   * @param resumedAfter id of the last event that the caller has of an earlier response; empty for
   *     none
   */
  public static DeliveredResponse nothing(OptionalLong resumedAfter) {
    return new DeliveredResponse(Extent.NOTHING, resumedAfter);
  }

  /** Returns the state after one more whole event, with its id if it has one. */
  public DeliveredResponse withEvent(OptionalLong id) {
    return id.isPresent() ? new DeliveredResponse(Extent.EVENTS, id) : withPart();
  }

  /** Returns the state after a comment in a stream of events, which receivers ignore. */
  public DeliveredResponse withComment() {
    return extent == Extent.NOTHING ? new DeliveredResponse(Extent.EVENTS, lastEventId) : this;
  }

  /** Returns the state after bytes that leave no position to resume at. */
  public DeliveredResponse withPart() {
    return new DeliveredResponse(Extent.PART, lastEventId);
  }

  /** Whether another target's response may complete this one, for a request of a kind. */
  public boolean mayBeContinued(RequestKind kind) {
    return switch (extent) {
      case NOTHING -> true;
      case EVENTS -> kind == RequestKind.RESUMABLE_STREAM;
      case PART -> false;
    };
  }

  /**
   * Whether a new attempt's response may be passed on, by its head.
   *
   * @param isEventStream whether its body is a stream of events
   */
  public boolean mayBeFollowedBy(boolean isEventStream) {
    return extent == Extent.NOTHING || (extent == Extent.EVENTS && isEventStream);
  }

  /**
   * Returns whether an event may be passed on.
   *
   * @param id its id; empty if it has none
   * @param isFirstOfAttempt whether nothing of its attempt's response was passed on before
   */
  public EventOrder orderOf(OptionalLong id, boolean isFirstOfAttempt) {
    boolean continuesOther = isFirstOfAttempt && extent != Extent.NOTHING;
    if (continuesOther && (extent == Extent.PART || id.isEmpty())) {
      return EventOrder.GAP;
    }
    if (id.isEmpty() || lastEventId.isEmpty()) {
      return EventOrder.NEXT;
    }
    long expected = lastEventId.getAsLong() + 1;
    if (id.getAsLong() == expected) {
      return EventOrder.NEXT;
    }
    return id.getAsLong() < expected ? EventOrder.REPEATED : EventOrder.GAP;
  }
}
