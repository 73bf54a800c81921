package dev.ibishub.core;

/**
 * Cumulative use of a workspace at one entry since that entry's start. Both counts are totals, so a
 * lost or repeated report does no harm.
 *
 * @param requests number of admitted requests
 * @param tokens number of charged tokens
 */
public record WorkspaceUse(double requests, double tokens) {
  /** Use of a workspace that has sent nothing. */
  public static final WorkspaceUse NONE = new WorkspaceUse(0, 0);
}
