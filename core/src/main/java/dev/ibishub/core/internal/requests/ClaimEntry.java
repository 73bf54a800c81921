package dev.ibishub.core.internal.requests;

import dev.ibishub.core.ClaimRecord;
import dev.ibishub.core.ClaimRequest;
import dev.ibishub.core.ClaimResult;
import dev.ibishub.core.ProcessIncarnation;
import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;

/** The winning claim of one key, and the state of its call at the owner. Not thread-safe. */
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
   * Creates the entry of a claim whose call has not started.
   *
   * @param claim the winning record
   */
  public ClaimEntry(ClaimRecord claim) {
    this.owner = claim.owner();
    this.fingerprint = claim.fingerprint();
  }

  /**
   * Decides a claim. A claim of an idle call that this process owns wins, and its attempt runs the
   * call.
   *
   * @param self this process and its incarnation
   * @param request the call to be claimed
   * @return the result
   * @throws ResultException with {@code IDEMPOTENCY_KEY_REUSED} if the key was used for another
   *     call
   */
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
      case FINISHED -> new ClaimResult.FinishedHere(attemptId);
      case IDLE -> {
        state = State.RUNNING;
        attemptId = request.attemptId();
        yield new ClaimResult.Won();
      }
    };
  }

  /** Makes the call idle again if it was won by this attempt, which did not start it. */
  public void notStarted(String attempt) {
    if (state == State.RUNNING && attempt.equals(attemptId)) {
      state = State.IDLE;
    }
  }

  /** Notes that the call ended, if it was won by this attempt. */
  public void finished(String attempt) {
    if (state == State.RUNNING && attempt.equals(attemptId)) {
      state = State.FINISHED;
    }
  }
}
