package dev.ibishub.core.serving;

/** The way in which an attempt at one target failed. */
public enum AttemptOutcome {
  /** No connection was established, so nothing was sent. */
  UNREACHABLE(false),
  /** Another target answered at the address; the intended one is no longer there. */
  MISDIRECTED(false),
  /** The target reported that it did not run the request. */
  REFUSED(false),
  /** The target ran the request and answered with an error. */
  FAILED(true),
  /** The connection ended or the answer was unusable; the request may have run. */
  BROKEN(true);

  private final boolean mayHaveRun;

  AttemptOutcome(boolean mayHaveRun) {
    this.mayHaveRun = mayHaveRun;
  }

  /** Whether the target may have run the request. */
  public boolean mayHaveRun() {
    return mayHaveRun;
  }
}
