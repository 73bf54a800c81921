package dev.ibishub.core;

/** Whether a request may run more than once. */
public enum Repeatability {
  /** Running the request twice is harmless, as with generating an answer. */
  MAY_BE_REPEATED,
  /**
   * The request runs at most once. It carries an idempotency key that its agent claims on the log
   * before the start, which prevents another attempt with the same key from running concurrently.
   */
  ONCE_BY_CLAIM,
  /**
   * The request runs at most once; another attempt is allowed only after proof that the earlier
   * ones did not run.
   */
  ONCE
}
