package dev.ibishub.core;

/** What a result code says about the request that it answers. */
public enum Outcome {
  /** The request ran and its answer is whole. */
  DONE,
  /** The request did not run and never will: sending it again is safe. */
  NOT_RUN,
  /** The request may have run, in part or in full. */
  OUTCOME_UNKNOWN
}
