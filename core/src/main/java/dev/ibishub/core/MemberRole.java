package dev.ibishub.core;

/** The kind of an ibishub process. */
public enum MemberRole {
  /** Serves callers. */
  ENTRY,
  /** Runs beside one target. */
  AGENT
}
