package dev.ibishub.core.serving;

/** How one attempt at one target ended without a success. */
public enum AttemptOutcome {
  /** No connection came about, so nothing was sent. */
  UNREACHABLE(false),
  /** Another target answered at the address; the one that was meant is gone. */
  MISDIRECTED(false),
  /** The target itself said that it did not run the request. */
  REFUSED(false),
  /** The target answered with a failure of its own; it ran. */
  FAILED(true),
  /** The connection ended, or the answer was unusable; it may have run. */
  BROKEN(true);

  private final boolean mayHaveRun;

  AttemptOutcome(boolean mayHaveRun) {
    this.mayHaveRun = mayHaveRun;
  }

  public boolean mayHaveRun() {
    return mayHaveRun;
  }
}
