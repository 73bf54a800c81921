package dev.ibishub.core.serving;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.core.serving.DeliveredResponse.EventOrder;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

final class DeliveredResponseTest {
  private static final DeliveredResponse NOTHING = DeliveredResponse.nothing(OptionalLong.empty());
  private static final DeliveredResponse EVENT_7 = NOTHING.withEvent(OptionalLong.of(7));

  // Guards against a request that is given up although its caller has received nothing yet.
  @ParameterizedTest
  @EnumSource(RequestKind.class)
  void anyResponseMayFollowNothing(RequestKind kind) {
    assertThat(NOTHING.mayBeContinued(kind)).isTrue();
    assertThat(NOTHING.mayBeFollowedBy(false)).isTrue();
    assertThat(NOTHING.orderOf(OptionalLong.empty(), true)).isEqualTo(EventOrder.NEXT);
  }

  // Guards against a body that is joined from two runs.
  @ParameterizedTest
  @EnumSource(RequestKind.class)
  void nothingMayFollowPart(RequestKind kind) {
    DeliveredResponse part = NOTHING.withPart();

    assertThat(part.mayBeContinued(kind)).isFalse();
    assertThat(part.mayBeFollowedBy(true)).isFalse();
    assertThat(part.mayBeFollowedBy(false)).isFalse();
    assertThat(part.orderOf(OptionalLong.of(8), true)).isEqualTo(EventOrder.GAP);
  }

  // Guards against events of two runs in a stream that its route doesn't allow to be resumed.
  @ParameterizedTest
  @EnumSource(RequestKind.class)
  void onlyResumableStreamGoesOnAfterEvents(RequestKind kind) {
    assertThat(EVENT_7.mayBeContinued(kind)).isEqualTo(kind == RequestKind.RESUMABLE_STREAM);
    assertThat(EVENT_7.mayBeFollowedBy(true)).isTrue();
    assertThat(EVENT_7.mayBeFollowedBy(false)).isFalse();
  }

  // Guards against a stream that is resumed before an event that its caller has.
  @Test
  void streamIsNotResumedAfterEventWithoutId() {
    DeliveredResponse delivered = EVENT_7.withEvent(OptionalLong.empty());

    assertThat(delivered.mayBeContinued(RequestKind.RESUMABLE_STREAM)).isFalse();
    assertThat(delivered.withEvent(OptionalLong.of(8)).mayBeContinued(RequestKind.RESUMABLE_STREAM))
        .isTrue();
  }

  // Guards against a second head behind the one that was written with a comment.
  @Test
  void streamOfWhichOnlyCommentCameGoesOnFromItsStart() {
    DeliveredResponse delivered = NOTHING.withComment();

    assertThat(delivered.mayBeContinued(RequestKind.RESUMABLE_STREAM)).isTrue();
    assertThat(delivered.mayBeContinued(RequestKind.IDEMPOTENT)).isFalse();
    assertThat(delivered.mayBeFollowedBy(false)).isFalse();
    assertThat(delivered.orderOf(OptionalLong.of(1), true)).isEqualTo(EventOrder.NEXT);
    assertThat(EVENT_7.withComment()).isEqualTo(EVENT_7);
  }

  @Test
  void eventsFollowEachOtherOnceAndInOrder() {
    assertThat(EVENT_7.orderOf(OptionalLong.of(7), true)).isEqualTo(EventOrder.REPEATED);
    assertThat(EVENT_7.orderOf(OptionalLong.of(8), true)).isEqualTo(EventOrder.NEXT);
    assertThat(EVENT_7.orderOf(OptionalLong.of(9), true)).isEqualTo(EventOrder.GAP);
    assertThat(EVENT_7.orderOf(OptionalLong.empty(), true)).isEqualTo(EventOrder.GAP);
    assertThat(EVENT_7.orderOf(OptionalLong.empty(), false)).isEqualTo(EventOrder.NEXT);
  }

  // Guards against events that a caller which resumes its stream has already.
  @Test
  void callerThatResumesGetsEventsAfterTheLastOneItHas() {
    DeliveredResponse resumed = DeliveredResponse.nothing(OptionalLong.of(3));

    assertThat(resumed.orderOf(OptionalLong.of(3), true)).isEqualTo(EventOrder.REPEATED);
    assertThat(resumed.orderOf(OptionalLong.of(4), true)).isEqualTo(EventOrder.NEXT);
    assertThat(resumed.mayBeFollowedBy(false)).isTrue();
  }
}
