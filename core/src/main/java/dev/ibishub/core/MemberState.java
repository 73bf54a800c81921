package dev.ibishub.core;

/**
 * State of a process as others see it. Of two records with the same incarnation and refutation, the
 * one whose state is declared later takes precedence.
 */
public enum MemberState {
  /** Running, as far as is known. */
  ALIVE,
  /** Missed probes and has not refuted the suspicion yet. */
  SUSPECT,
  /** Is about to shut down, by its own report, an operator's or the list of VMs. */
  LEAVING,
  /** Did not refute a suspicion in time. */
  DEAD
}
