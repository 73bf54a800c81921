package dev.ibishub.core.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class AnswerTimesTest {
  private static final long GOAL_MILLIS = 122;
  private static final long USUAL_MILLIS = 45;

  /** How much longer than the median a usual answer may take. */
  private static final long SPREAD_MILLIS = 15;

  private final AnswerTimes times = new AnswerTimes();

  private void recordAnswers(int number, long millis) {
    IntStream.range(0, number).forEach(i -> times.onSuccess(millis));
  }

  @Test
  void delayLeavesTimeForMedianAnswerWithinGoal() {
    recordAnswers(40, USUAL_MILLIS);

    assertThat(times.hedgeDelayMillis(GOAL_MILLIS)).hasValue(GOAL_MILLIS - USUAL_MILLIS);
  }

  @Test
  void delayIsAtLeastQuantileOfAnswers() {
    recordAnswers(50, 60);
    recordAnswers(14, 110);

    assertThat(times.hedgeDelayMillis(GOAL_MILLIS)).hasValue(110);
  }

  @Test
  void delayIsHalfOfGoalWithoutAnswers() {
    assertThat(times.hedgeDelayMillis(GOAL_MILLIS)).hasValue(GOAL_MILLIS / 2);
    assertThat(times.hedgeDelayMillis(0)).isEmpty();
  }

  @Test
  void onlyLatestAnswersCount() {
    recordAnswers(100, 500);
    recordAnswers(64, USUAL_MILLIS);

    assertThat(times.hedgeDelayMillis(GOAL_MILLIS)).hasValue(GOAL_MILLIS - USUAL_MILLIS);
  }

  // Guards against a hedge that is sent too late. One target of three never answers one request in
  // five, and without a hedge callers wait the route's whole 0.6 s although the other targets
  // answer within 45 ms. With a hedging delay of 260 ms, beyond the objective of 122 ms, only 0.933
  // of
  // the answers came within the objective plus the spread of an answer.
  @Test
  void hedgedRequestsMeetGoalIfTargetLosesRequests() {
    Random random = new Random(7);
    recordAnswers(40, USUAL_MILLIS);
    long hedgeDelay = times.hedgeDelayMillis(GOAL_MILLIS).orElseThrow();
    long inTime =
        IntStream.range(0, 2_000)
            .mapToLong(
                i -> {
                  boolean isLost = random.nextInt(3) == 0 && random.nextInt(5) == 0;
                  long ownMillis = random.nextLong(30, 60);
                  return isLost ? hedgeDelay + random.nextLong(30, 60) : ownMillis;
                })
            .filter(millis -> millis <= GOAL_MILLIS + SPREAD_MILLIS)
            .count();

    assertThat(inTime).as("seed 7").isGreaterThanOrEqualTo(1_990);
  }
}
