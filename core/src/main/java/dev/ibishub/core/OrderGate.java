package dev.ibishub.core;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;

/**
 * Gate that decides which orders reach an engine, one at a time. Many engines obey any order
 * regardless of its fencing token, so only this gate rejects stale orders. Not thread-safe.
 *
 * <p>It assumes that an order takes effect within {@code settlingTime} after the end of the call
 * that delivered it, or never.
 */
public final class OrderGate {
  private final Duration settlingTime;
  private Instant undecidedUntil;
  private boolean isTokenRestored;
  private long highestToken;
  private String undecidedId = "";
  private String lastConfirmedId = "";

  private OrderGate(Instant startedAt, Duration settlingTime) {
    this.settlingTime = settlingTime;
    this.undecidedUntil = startedAt.plus(settlingTime);
  }

  /**
   * Creates the gate of an agent that has just started and has no state.
   *
   * @param startedAt when the agent started; an order given by its predecessor may still take
   *     effect after this
   * @param settlingTime how long after the end of its call an order may still take effect
   * @return a gate that refuses orders until {@link #restoreHighestToken} is called
   */
  public static OrderGate create(Instant startedAt, Duration settlingTime) {
    return new OrderGate(startedAt, Objects.requireNonNull(settlingTime));
  }

  /**
   * Restores the highest fencing token given so far from a source that outlives the agent.
   *
   * @param token the token, 0 if none was given
   */
  public void restoreHighestToken(long token) {
    highestToken = Math.max(highestToken, token);
    isTokenRestored = true;
  }

  /**
   * Decides on an order.
   *
   * @param orderId the order's unique identifier
   * @param token its fencing token
   * @param lastOrderId the order that last took effect, read from the engine for this decision
   * @param now when {@code lastOrderId} was read
   * @return {@code OK} to forward the order to the engine, {@code ACCEPTED} if it has already taken
   *     effect, else {@code NOT_READY}, {@code STALE_FENCING_TOKEN} or {@code ORDER_UNDECIDED}
   */
  public ResultCode admit(String orderId, long token, String lastOrderId, Instant now) {
    // Guards against a restarted agent that would obey an order older than one that its predecessor
    // obeyed, which would revert the engine to an earlier model.
    if (!isTokenRestored) {
      return ResultCode.NOT_READY;
    }
    resolveUndecided(lastOrderId);
    if (orderId.equals(lastOrderId) || orderId.equals(lastConfirmedId)) {
      return ResultCode.ACCEPTED;
    }
    if (token < highestToken) {
      return ResultCode.STALE_FENCING_TOKEN;
    }
    // Guards against an order whose answer was lost, or whose agent died, and which takes effect
    // after the next order and silently undoes it. Only seeing its effect or waiting out the delay
    // rules that out.
    if (now.isBefore(undecidedUntil)) {
      return ResultCode.ORDER_UNDECIDED;
    }
    undecidedId = "";
    highestToken = token;
    return ResultCode.OK;
  }

  /** Records that the engine confirmed an order. */
  public void onDone(String orderId) {
    lastConfirmedId = orderId;
    undecidedId = "";
  }

  /**
   * Records that the answer to an order was lost, so that it may still take effect.
   *
   * @param orderId the order
   * @param now when its call ended
   */
  public void onUndecided(String orderId, Instant now) {
    undecidedId = orderId;
    undecidedUntil = now.plus(settlingTime);
  }

  public long highestToken() {
    return highestToken;
  }

  /** Returns the time from which an order refused with {@code ORDER_UNDECIDED} can be retried. */
  public Instant undecidedUntil() {
    return undecidedUntil;
  }

  private void resolveUndecided(String lastOrderId) {
    if (!undecidedId.isEmpty() && undecidedId.equals(lastOrderId)) {
      onDone(lastOrderId);
      undecidedUntil = Instant.MIN;
    }
  }
}
