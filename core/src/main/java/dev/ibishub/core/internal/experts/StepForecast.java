package dev.ibishub.core.internal.experts;

import dev.ibishub.core.RankStatus;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;

/**
 * Chooses the step at which a group is to hold: far enough ahead that hold and commit have both
 * arrived before it, so that no rank ever waits. Not thread-safe.
 */
public final class StepForecast {
  private static final int ROUND_TRIPS_AHEAD = 2;
  private static final int MAXIMUM_MARGIN = 64;
  private static final double KEPT_OF_THE_OLD_DELAY = 0.9;

  private final int minimumLeadSteps;
  private double roundTripMillis;
  private int margin = 1;

  public StepForecast(int minimumLeadSteps) {
    this.minimumLeadSteps = minimumLeadSteps;
  }

  /** Notes how long a command took to be answered: at once the longest, forgotten slowly. */
  public void onAnswer(Instant sentAt, Instant answeredAt) {
    double millis = Duration.between(sentAt, answeredAt).toNanos() / 1e6;
    roundTripMillis = Math.max(millis, roundTripMillis * KEPT_OF_THE_OLD_DELAY);
  }

  /** Notes that a hold came after its step had begun: the next one is placed further ahead. */
  public void onLateHold() {
    margin = Math.min(MAXIMUM_MARGIN, margin * 2);
  }

  /** Returns the step to hold at, from the last state heard of each rank. */
  public long holdStep(RankStatus[] statuses) {
    long last = Arrays.stream(statuses).mapToLong(RankStatus::step).max().orElse(0);
    if (Arrays.stream(statuses).allMatch(RankStatus::isFresh)) {
      return last + 1;
    }
    // Ranks in lock-step begin a step no sooner than the slowest has done its part of the last one.
    double stepMillis =
        Arrays.stream(statuses)
            .mapToDouble(RankStatus::stepMillis)
            .filter(millis -> millis > 0)
            .max()
            .orElse(1);
    double lead = Math.ceil(ROUND_TRIPS_AHEAD * roundTripMillis / stepMillis) * margin;
    return last + minimumLeadSteps * (long) margin + (long) lead;
  }
}
