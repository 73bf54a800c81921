package dev.ibishub.bench.routing;

import org.HdrHistogram.Histogram;

/**
 * The results of a run, without its warm-up.
 *
 * @param firstToken time to first token, in microseconds
 * @param betweenTokens mean time between the tokens of each answer, in microseconds
 * @param hitRate share of prompts whose prefix was cached
 * @param imbalance maximum tokens of one target over the mean
 * @param slowShare share of the tokens served by the target that {@link Scenario} may slow down
 * @param failedAttempts failed attempts per request
 */
record RouteResult(
    Histogram firstToken,
    Histogram betweenTokens,
    double hitRate,
    double imbalance,
    double slowShare,
    double failedAttempts) {
  private static final double MICROS_PER_MILLI = 1000;

  double firstTokenMillis(double percentile) {
    return firstToken.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
  }

  double betweenTokensMillis(double percentile) {
    return betweenTokens.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
  }
}
