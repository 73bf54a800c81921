package dev.ibishub.core;

/**
 * What a workspace has used at one entry since that entry's start. Both counts only grow, so a
 * report that is lost or comes twice does no harm.
 *
 * @param requests requests admitted
 * @param tokens tokens charged
 */
public record WorkspaceUse(double requests, double tokens) {
  /** Nothing used. */
  public static final WorkspaceUse NONE = new WorkspaceUse(0, 0);
}
