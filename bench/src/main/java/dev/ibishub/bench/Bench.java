package dev.ibishub.bench;

/** A measurement of decisions that takes every random draw from its seed. */
public interface Bench {
  /** The name that {@code bin/bench} runs it by. */
  String name();

  /**
   * Runs the measurement.
   *
   * @param seed of all randomness
   * @return what was measured
   */
  BenchReport run(long seed);
}
