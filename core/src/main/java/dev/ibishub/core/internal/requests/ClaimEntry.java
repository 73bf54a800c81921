package dev.ibishub.core.internal.requests;

import dev.ibishub.core.ClaimRecord;
import dev.ibishub.core.ClaimRequest;
import dev.ibishub.core.ClaimResult;
import dev.ibishub.core.ProcessIncarnation;
import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;

/** The winning claim of one key, and what its owner did with it. Not thread-safe. */
public final class ClaimEntry {
  private enum State {
    IDLE,
    RUNNING,
    FINISHED
  }

  private final ProcessIncarnation owner;
  private final long fingerprint;
  private State state = State.IDLE;
  private String attemptId;

  /**
   * Creates the entry of a claim that nobody has started.
   *
   * @param claim the record that won
   */
  public ClaimEntry(ClaimRecord claim) {
    this.owner = claim.owner();
    this.fingerprint = claim.fingerprint();
  }

  /** Decides a claim; one that meets an idle call of this process gets it. */
  public ClaimResult decide(ProcessIncarnation self, ClaimRequest request) {
    if (request.fingerprint() != fingerprint) {
      throw new ResultException(
          ResultCode.IDEMPOTENCY_KEY_REUSED, "Idempotency-Key: used before for another call");
    }
    if (!owner.equals(self)) {
      return new ClaimResult.HeldBy(owner);
    }
    return switch (state) {
      case RUNNING -> new ClaimResult.RunningHere(attemptId);
      case FINISHED -> new ClaimResult.Kept(attemptId);
      case IDLE -> {
        state = State.RUNNING;
        attemptId = request.attemptId();
        yield new ClaimResult.Won();
      }
    };
  }

  /** Gives the call back if this attempt has it and did not start it. */
  public void notStarted(String attempt) {
    if (state == State.RUNNING && attempt.equals(attemptId)) {
      state = State.IDLE;
    }
  }

  /** Notes that this attempt is over. */
  public void finished(String attempt) {
    if (state == State.RUNNING && attempt.equals(attemptId)) {
      state = State.FINISHED;
    }
  }
}
