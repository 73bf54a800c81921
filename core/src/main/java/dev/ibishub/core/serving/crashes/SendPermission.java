package dev.ibishub.core.serving.crashes;

/** Whether a request may be sent to a target, as far as crashes are concerned. */
public enum SendPermission {
  ALLOWED,
  /**
   * Not now: it has a trait in common with requests that ran at a crashed target, and one such
   * request is under way. What becomes of that one soon decides.
   */
  HELD,
  /** Not to any target. */
  QUARANTINED
}
