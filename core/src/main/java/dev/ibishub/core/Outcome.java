package dev.ibishub.core;

/** What a result code says about whether the request ran. */
public enum Outcome {
  /** The request ran and its answer is complete. */
  DONE,
  /** The request did not run and never will; sending it again is safe. */
  NOT_RUN,
  /** The request may have run, in part or in full. */
  OUTCOME_UNKNOWN
}
