package dev.ibishub.bench;

/** A measurement that can be run by name; all its random numbers come from one seed. */
public interface Bench {
  /** The name under which {@code bin/bench} runs the measurement. */
  String name();

  /**
   * Runs the measurement.
   *
   * @param seed seed of all random numbers
   * @return the results
   */
  BenchReport run(long seed);
}
