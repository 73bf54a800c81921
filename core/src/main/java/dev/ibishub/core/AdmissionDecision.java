package dev.ibishub.core;

import java.time.Instant;
import java.util.Objects;
import java.util.Optional;

/**
 * The decision whether a request is admitted.
 *
 * @param code {@link ResultCode#OK} if admitted, else the reason for the refusal
 * @param retryAt the earliest time at which a retry makes sense; empty if admitted
 */
public record AdmissionDecision(ResultCode code, Optional<Instant> retryAt) {
  private static final AdmissionDecision ADMITTED =
      new AdmissionDecision(ResultCode.OK, Optional.empty());

  /** Checks that the fields are not null. */
  public AdmissionDecision {
    Objects.requireNonNull(code, "code");
    Objects.requireNonNull(retryAt, "retryAt");
  }

  /** Returns the decision to admit a request. */
  static AdmissionDecision ok() {
    return ADMITTED;
  }

  /** Returns the decision to refuse a request for the given reason. */
  static AdmissionDecision refused(ResultCode code, Instant retryAt) {
    return new AdmissionDecision(code, Optional.of(retryAt));
  }

  public boolean admitted() {
    return code == ResultCode.OK;
  }
}
