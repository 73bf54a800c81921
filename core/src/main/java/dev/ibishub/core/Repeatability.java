package dev.ibishub.core;

/** Whether a request may run more than once. */
public enum Repeatability {
  /** Running it twice does no harm, as with generating an answer. */
  MAY_BE_REPEATED,
  /**
   * It runs at most once, and carries an idempotency key that its agent claims on the log before
   * the start. Another attempt with the same key can't run beside the first one.
   */
  ONCE_BY_CLAIM,
  /** It runs at most once, and only the proof that an attempt did not run allows another. */
  ONCE
}
