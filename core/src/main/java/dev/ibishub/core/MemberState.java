package dev.ibishub.core;

/**
 * What is believed of a process. Of two records with the same incarnation and refutation the later
 * constant wins.
 */
public enum MemberState {
  ALIVE,
  SUSPECT,
  LEAVING,
  DEAD
}
