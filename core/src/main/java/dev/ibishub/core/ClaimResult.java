package dev.ibishub.core;

/** What became of a claim. */
public sealed interface ClaimResult {
  /** The call is this attempt's to run, and no other's. */
  record Won() implements ClaimResult {}

  /**
   * The call runs here already; its answer may be joined.
   *
   * @param attemptId the attempt that runs it
   */
  record RunningHere(String attemptId) implements ClaimResult {}

  /**
   * The call ran here to its end. Its answer is in the buffer of that attempt; if the buffer is
   * gone the caller is told {@code ANSWER_NO_LONGER_KEPT}.
   *
   * @param attemptId the attempt that ran it
   */
  record Kept(String attemptId) implements ClaimResult {}

  /**
   * Another process, or an earlier run of this one, claimed the call first. Only that one can say
   * more: if it is gone, the outcome is unknown for good.
   *
   * @param holder who claimed it
   */
  record HeldBy(ProcessIncarnation holder) implements ClaimResult {}
}
