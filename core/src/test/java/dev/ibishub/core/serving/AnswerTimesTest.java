package dev.ibishub.core.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class AnswerTimesTest {
  private static final long AIM_MILLIS = 122;
  private static final long USUAL_MILLIS = 45;

  /** How far a usual answer's time lies from the median. */
  private static final long SPREAD_MILLIS = 15;

  private final AnswerTimes times = new AnswerTimes();

  private void answers(int number, long millis) {
    IntStream.range(0, number).forEach(i -> times.onGood(millis));
  }

  @Test
  void secondTargetIsAskedWhileItCanStillBeInTime() {
    answers(40, USUAL_MILLIS);

    assertThat(times.silenceMillis(AIM_MILLIS)).hasValue(AIM_MILLIS - USUAL_MILLIS);
  }

  @Test
  void secondTargetIsNotAskedBeforeNearlyAllAnswersCome() {
    answers(50, 60);
    answers(14, 110);

    assertThat(times.silenceMillis(AIM_MILLIS)).hasValue(110);
  }

  @Test
  void beforeAnythingIsKnownHalfOfTheAimCounts() {
    assertThat(times.silenceMillis(AIM_MILLIS)).hasValue(AIM_MILLIS / 2);
    assertThat(times.silenceMillis(0)).isEmpty();
  }

  @Test
  void onlyTheLatestAnswersCount() {
    answers(100, 500);
    answers(64, USUAL_MILLIS);

    assertThat(times.silenceMillis(AIM_MILLIS)).hasValue(AIM_MILLIS - USUAL_MILLIS);
  }

  // A dispatcher who looks up a bay waits the route's whole 0.6 s, although the other targets
  // answer
  // within 45 ms. One target of three swallows one request in five; a second target was asked after
  // 260 ms, when the aim of 122 ms had passed. Within the aim and the
  // spread of an answer: 0.933 with 260 ms, all with this.
  @Test
  void lookUpsAtATargetThatSwallowsRequestsAreInTime() {
    Random random = new Random(7);
    answers(40, USUAL_MILLIS);
    long hedge = times.silenceMillis(AIM_MILLIS).orElseThrow();
    long inTime =
        IntStream.range(0, 2_000)
            .mapToLong(
                i -> {
                  boolean isSwallowed = random.nextInt(3) == 0 && random.nextInt(5) == 0;
                  long own = random.nextLong(30, 60);
                  return isSwallowed ? hedge + random.nextLong(30, 60) : own;
                })
            .filter(millis -> millis <= AIM_MILLIS + SPREAD_MILLIS)
            .count();

    assertThat(inTime).as("seed 7").isGreaterThanOrEqualTo(1_990);
  }
}
