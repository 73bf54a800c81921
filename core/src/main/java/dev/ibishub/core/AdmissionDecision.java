package dev.ibishub.core;

import java.time.Instant;
import java.util.Objects;
import java.util.Optional;

/**
 * Whether a request is let in.
 *
 * @param code {@link ResultCode#OK} when it is, else why not
 * @param retryAt the earliest time at which another try makes sense; empty when let in
 */
public record AdmissionDecision(ResultCode code, Optional<Instant> retryAt) {
  private static final AdmissionDecision ADMITTED =
      new AdmissionDecision(ResultCode.OK, Optional.empty());

  /** Checks that the fields are given. */
  public AdmissionDecision {
    Objects.requireNonNull(code, "code");
    Objects.requireNonNull(retryAt, "retryAt");
  }

  static AdmissionDecision letIn() {
    return ADMITTED;
  }

  static AdmissionDecision refused(ResultCode code, Instant retryAt) {
    return new AdmissionDecision(code, Optional.of(retryAt));
  }

  public boolean admitted() {
    return code == ResultCode.OK;
  }
}
