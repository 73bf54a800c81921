package dev.ibishub.core;

import java.time.Instant;
import java.util.Optional;

/**
 * A call that ended with a result code other than {@link ResultCode#OK}. It is what the project's
 * {@code CompletableFuture}s fail with.
 */
public final class ResultException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final ResultCode code;
  private final transient Instant retryAt;

  /**
   * Creates a failure.
   *
   * @param code why the call failed
   * @param detail what was met and what was expected, for people; holds no secret or prompt text
   */
  public ResultException(ResultCode code, String detail) {
    this(code, detail, null);
  }

  /**
   * Creates a failure that says when to come back.
   *
   * @param code why the call failed
   * @param detail what was met and what was expected, for people
   * @param retryAt the earliest time at which another try makes sense, or null
   */
  public ResultException(ResultCode code, String detail, Instant retryAt) {
    super(detail);
    this.code = code;
    this.retryAt = retryAt;
  }

  public ResultCode code() {
    return code;
  }

  public Optional<Instant> retryAt() {
    return Optional.ofNullable(retryAt);
  }
}
