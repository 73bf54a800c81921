package dev.ibishub.core;

import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * The result of a call, with its number, outcome, HTTP status and retry advice as listed in {@code
 * docs/RESULT-CODES.md}. A number is never reused with another meaning.
 */
public enum ResultCode {
  OK(0, Outcome.DONE, 200, Retry.NEVER),
  ACCEPTED(1, Outcome.DONE, 202, Retry.NEVER),

  MALFORMED_REQUEST(1001, Outcome.NOT_RUN, 400, Retry.NEVER),
  UNAUTHENTICATED(1002, Outcome.NOT_RUN, 401, Retry.NEVER),
  FORBIDDEN(1003, Outcome.NOT_RUN, 403, Retry.NEVER),
  NOT_FOUND(1004, Outcome.NOT_RUN, 404, Retry.NEVER),
  METHOD_NOT_ALLOWED(1005, Outcome.NOT_RUN, 405, Retry.NEVER),
  TOO_LARGE(1006, Outcome.NOT_RUN, 413, Retry.NEVER),
  UNKNOWN_MODEL(1007, Outcome.NOT_RUN, 404, Retry.NEVER),
  IDEMPOTENCY_KEY_REQUIRED(1008, Outcome.NOT_RUN, 400, Retry.NEVER),
  IDEMPOTENCY_KEY_EXPIRED(1009, Outcome.OUTCOME_UNKNOWN, 409, Retry.CALLER_DECIDES),
  IDEMPOTENCY_KEY_REUSED(1010, Outcome.NOT_RUN, 422, Retry.NEVER),
  SLOW_SENDER(1011, Outcome.NOT_RUN, 408, Retry.NEVER),
  STREAM_POSITION_LOST(1012, Outcome.OUTCOME_UNKNOWN, 410, Retry.NEVER),
  NOT_A_TARGET(1013, Outcome.NOT_RUN, 421, Retry.NEVER),

  WORKSPACE_LIMIT(2001, Outcome.NOT_RUN, 429, Retry.LATER),
  OVERLOADED(2002, Outcome.NOT_RUN, 503, Retry.LATER),
  DEADLINE_UNREACHABLE(2003, Outcome.NOT_RUN, 503, Retry.LATER),
  NO_TARGET(2004, Outcome.NOT_RUN, 503, Retry.LATER),
  TARGET_LEAVING(2005, Outcome.NOT_RUN, 503, Retry.LATER),
  ENTRY_LEAVING(2006, Outcome.NOT_RUN, 503, Retry.LATER),
  REVOKED(2007, Outcome.NOT_RUN, 503, Retry.LATER),
  LOG_UNAVAILABLE(2008, Outcome.NOT_RUN, 503, Retry.LATER),
  NOT_READY(2009, Outcome.NOT_RUN, 503, Retry.LATER),
  TARGET_UNREACHABLE(2010, Outcome.NOT_RUN, 503, Retry.LATER),
  ALREADY_RUNNING(2011, Outcome.OUTCOME_UNKNOWN, 409, Retry.LATER),
  DEADLINE_PASSED_QUEUED(2012, Outcome.NOT_RUN, 504, Retry.LATER),
  REQUEST_QUARANTINED(2013, Outcome.NOT_RUN, 503, Retry.NEVER),
  REQUEST_SUSPECTED(2014, Outcome.NOT_RUN, 503, Retry.LATER),

  OUTCOME_UNKNOWN(3001, Outcome.OUTCOME_UNKNOWN, 502, Retry.CALLER_DECIDES),
  TARGET_LOST(3002, Outcome.OUTCOME_UNKNOWN, 502, Retry.CALLER_DECIDES),
  DEADLINE_PASSED_RUNNING(3003, Outcome.OUTCOME_UNKNOWN, 504, Retry.CALLER_DECIDES),
  CANCELLED(3004, Outcome.OUTCOME_UNKNOWN, 499, Retry.CALLER_DECIDES),
  ANSWER_CORRUPTED(3005, Outcome.OUTCOME_UNKNOWN, 502, Retry.CALLER_DECIDES),
  ENGINE_FAILED(3006, Outcome.OUTCOME_UNKNOWN, 502, Retry.CALLER_DECIDES),
  ANSWER_NO_LONGER_KEPT(3007, Outcome.OUTCOME_UNKNOWN, 409, Retry.CALLER_DECIDES),
  STREAM_RESTARTED_ELSEWHERE(3008, Outcome.OUTCOME_UNKNOWN, 410, Retry.CALLER_DECIDES),

  CONFIGURATION_INVALID(4001, Outcome.NOT_RUN, 422, Retry.NEVER),
  CONFIGURATION_CONFLICT(4002, Outcome.NOT_RUN, 409, Retry.NEVER),
  CONFIGURATION_UNDECIDED(4003, Outcome.OUTCOME_UNKNOWN, 503, Retry.CALLER_DECIDES),
  REVISION_UNKNOWN(4004, Outcome.NOT_RUN, 404, Retry.NEVER),

  STALE_FENCING_TOKEN(5001, Outcome.NOT_RUN, 409, Retry.NEVER),
  ORDER_UNDECIDED(5002, Outcome.OUTCOME_UNKNOWN, 503, Retry.LATER),
  STALE_EPOCH(5003, Outcome.NOT_RUN, 409, Retry.NEVER),
  STEP_ALREADY_PASSED(5004, Outcome.NOT_RUN, 409, Retry.NEVER),
  MAP_NOT_STAGED(5005, Outcome.NOT_RUN, 409, Retry.NEVER),
  UNKNOWN_INCARNATION(5006, Outcome.NOT_RUN, 409, Retry.NEVER),
  WEIGHT_STORE_BUSY(5007, Outcome.NOT_RUN, 503, Retry.LATER),

  PROTOCOL_VERSION(6001, Outcome.NOT_RUN, 400, Retry.NEVER),
  PROTOCOL_VIOLATION(6002, Outcome.NOT_RUN, 400, Retry.NEVER),
  INTERNAL(9001, Outcome.OUTCOME_UNKNOWN, 500, Retry.CALLER_DECIDES);

  /** Whether and when a caller should send the request again. */
  public enum Retry {
    /** Useless: the same request gets the same result. */
    NEVER,
    /** Safe, but not before the time given in {@code Retry-After}. */
    LATER,
    /** The request may have run; only the caller knows whether it may run twice. */
    CALLER_DECIDES
  }

  private static final Map<Integer, ResultCode> BY_NUMBER =
      Arrays.stream(values()).collect(Collectors.toMap(ResultCode::number, Function.identity()));

  private final int number;
  private final Outcome outcome;
  private final int httpStatus;
  private final Retry retry;

  ResultCode(int number, Outcome outcome, int httpStatus, Retry retry) {
    this.number = number;
    this.outcome = outcome;
    this.httpStatus = httpStatus;
    this.retry = retry;
  }

  /**
   * Finds a code by its number.
   *
   * @param number a number from {@code docs/RESULT-CODES.md}
   * @return the code, or empty for a number that this release does not know
   */
  public static Optional<ResultCode> ofNumber(int number) {
    return Optional.ofNullable(BY_NUMBER.get(number));
  }

  public int number() {
    return number;
  }

  public Outcome outcome() {
    return outcome;
  }

  public int httpStatus() {
    return httpStatus;
  }

  public Retry retry() {
    return retry;
  }
}
