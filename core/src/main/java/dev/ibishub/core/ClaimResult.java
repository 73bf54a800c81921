package dev.ibishub.core;

/** The result of a claim. */
public sealed interface ClaimResult {
  /** The claim was won: this attempt, and no other, runs the call. */
  record Won() implements ClaimResult {}

  /**
   * The call is already running in this process; a caller may join its answer.
   *
   * @param attemptId the attempt that runs it
   */
  record RunningHere(String attemptId) implements ClaimResult {}

  /**
   * The call ended in this process. Its answer is in the buffer of the attempt that ran it; if that
   * buffer is gone, the caller gets {@code ANSWER_NO_LONGER_KEPT}.
   *
   * @param attemptId the attempt that ran it
   */
  record FinishedHere(String attemptId) implements ClaimResult {}

  /**
   * Another process, or an earlier incarnation of this one, claimed the call first. Only the holder
   * knows the outcome: if it is gone, the outcome stays unknown.
   *
   * @param holder the process that claimed the call
   */
  record HeldBy(ProcessIncarnation holder) implements ClaimResult {}
}
