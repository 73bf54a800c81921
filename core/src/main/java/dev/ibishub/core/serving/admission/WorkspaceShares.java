package dev.ibishub.core.serving.admission;

/** How much of the contested capacity each workspace has used. */
public interface WorkspaceShares {
  /** Shares that count all workspaces alike. */
  WorkspaceShares EQUAL =
      new WorkspaceShares() {
        @Override
        public double usage(String workspace, long now) {
          return 0;
        }

        @Override
        public void onAdmitted(String workspace, double tokens, long now) {}
      };

  /**
   * Returns a workspace's recent use relative to its share; requests of the workspace with the
   * lowest value come first among equally urgent ones.
   */
  double usage(String workspace, long now);

  /** Records that a request was admitted. */
  void onAdmitted(String workspace, double tokens, long now);
}
