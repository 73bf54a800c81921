package dev.ibishub.core;

import java.time.Instant;
import java.util.Optional;

/**
 * Failure of a call with a result code other than {@link ResultCode#OK}. The project's {@code
 * CompletableFuture}s complete exceptionally with it.
 */
public final class ResultException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final ResultCode code;
  private final transient Instant retryAt;

  /**
   * Creates an exception without a time for a retry.
   *
   * @param code why the call failed
   * @param detail what was found and what was expected, as text for people; must contain no secret
   *     and no text of a prompt
   */
  public ResultException(ResultCode code, String detail) {
    this(code, detail, null);
  }

  /**
   * Creates an exception with a time for a retry.
   *
   * @param code why the call failed
   * @param detail what was found and what was expected, as text for people; must contain no secret
   *     and no text of a prompt
   * @param retryAt the earliest time at which a retry makes sense, or null if none is given
   */
  public ResultException(ResultCode code, String detail, Instant retryAt) {
    super(detail);
    this.code = code;
    this.retryAt = retryAt;
  }

  public ResultCode code() {
    return code;
  }

  /** Returns the earliest time at which a retry makes sense, if one was given. */
  public Optional<Instant> retryAt() {
    return Optional.ofNullable(retryAt);
  }
}
