package dev.ibishub.core.internal.experts;

import dev.ibishub.core.RankStatus;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;

/**
 * Chooses the step that a group holds: far enough ahead that both hold and commit arrive before it,
 * so that no rank stalls. Not thread-safe.
 */
public final class HoldStepEstimator {
  private static final int ROUND_TRIPS_AHEAD = 2;
  private static final int MAXIMUM_LEAD_FACTOR = 64;
  private static final double ROUND_TRIP_DECAY = 0.9;

  private final int minimumLeadSteps;
  private double roundTripMillis;
  private int leadFactor = 1;

  public HoldStepEstimator(int minimumLeadSteps) {
    this.minimumLeadSteps = minimumLeadSteps;
  }

  /** Records a round trip. The estimate rises to a longer one at once and decays slowly. */
  public void onAnswer(Instant sentAt, Instant answeredAt) {
    double millis = Duration.between(sentAt, answeredAt).toNanos() / 1e6;
    roundTripMillis = Math.max(millis, roundTripMillis * ROUND_TRIP_DECAY);
  }

  /**
   * Records that a hold arrived after its step began, which doubles the lead of later holds up to a
   * limit.
   */
  public void onLateHold() {
    leadFactor = Math.min(MAXIMUM_LEAD_FACTOR, leadFactor * 2);
  }

  /** Returns the step to hold, given the latest status of each rank. */
  public long holdStep(RankStatus[] statuses) {
    long newestStep = Arrays.stream(statuses).mapToLong(RankStatus::step).max().orElse(0);
    if (Arrays.stream(statuses).allMatch(RankStatus::isFresh)) {
      return newestStep + 1;
    }
    // Ranks run in lock-step, so no step begins before the slowest rank has finished its part of
    // the previous one.
    double stepMillis =
        Arrays.stream(statuses)
            .mapToDouble(RankStatus::stepMillis)
            .filter(millis -> millis > 0)
            .max()
            .orElse(1);
    double roundTripLeadSteps =
        Math.ceil(ROUND_TRIPS_AHEAD * roundTripMillis / stepMillis) * leadFactor;
    return newestStep + minimumLeadSteps * (long) leadFactor + (long) roundTripLeadSteps;
  }
}
