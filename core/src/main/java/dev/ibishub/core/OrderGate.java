package dev.ibishub.core;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;

/**
 * Decides which orders an engine gets, one at a time. Many engines obey any order whatever fencing
 * token it carries, so this gate alone keeps old ones out. Not thread-safe.
 *
 * <p>It assumes that an engine lets an order take effect within {@code settleFor} of the end of the
 * call that brought it, or never.
 */
public final class OrderGate {
  private final Duration settleFor;
  private Instant quietUntil;
  private boolean relearned;
  private long highestToken;
  private String undecidedId = "";
  private String lastDoneId = "";

  private OrderGate(Instant startedAt, Duration settleFor) {
    this.settleFor = settleFor;
    this.quietUntil = startedAt.plus(settleFor);
  }

  /**
   * Creates the gate of an agent that has just started and remembers nothing.
   *
   * @param startedAt when the agent started: an order that its predecessor gave may still take
   *     effect after this
   * @param settleFor how long after the end of its call an order may take effect
   * @return a gate that refuses orders until {@link #relearn}
   */
  public static OrderGate create(Instant startedAt, Duration settleFor) {
    return new OrderGate(startedAt, Objects.requireNonNull(settleFor));
  }

  /**
   * Learns the highest fencing token given so far, from a source that outlives the agent.
   *
   * @param token the token, 0 where none was given
   */
  public void relearn(long token) {
    highestToken = Math.max(highestToken, token);
    relearned = true;
  }

  /**
   * Decides on an order.
   *
   * @param orderId the order's unique name
   * @param token its fencing token
   * @param lastOrderId the order that took effect last, read from the engine for this decision
   * @param now the time of that reading
   * @return {@code OK} to give it to the engine, {@code ACCEPTED} when it has taken effect already,
   *     else {@code NOT_READY}, {@code STALE_FENCING_TOKEN} or {@code ORDER_UNDECIDED}
   */
  public ResultCode admit(String orderId, long token, String lastOrderId, Instant now) {
    // Guards against an agent that restarted and would obey an order older than one that its
    // predecessor obeyed: the engine would go back to yesterday's model.
    if (!relearned) {
      return ResultCode.NOT_READY;
    }
    settle(lastOrderId);
    if (orderId.equals(lastOrderId) || orderId.equals(lastDoneId)) {
      return ResultCode.ACCEPTED;
    }
    if (token < highestToken) {
      return ResultCode.STALE_FENCING_TOKEN;
    }
    // Guards against an order whose answer was lost, or whose agent died, and which takes effect
    // after the next one: it would undo it unseen. Only what is seen, or waiting it out, ends that.
    if (now.isBefore(quietUntil)) {
      return ResultCode.ORDER_UNDECIDED;
    }
    undecidedId = "";
    highestToken = token;
    return ResultCode.OK;
  }

  /** Notes that the engine answered an order. */
  public void onDone(String orderId) {
    lastDoneId = orderId;
    undecidedId = "";
  }

  /**
   * Notes that an order's answer was lost, so that it may take effect yet.
   *
   * @param orderId the order
   * @param now when its call ended
   */
  public void onUndecided(String orderId, Instant now) {
    undecidedId = orderId;
    quietUntil = now.plus(settleFor);
  }

  public long highestToken() {
    return highestToken;
  }

  /** Returns from when on an order refused with {@code ORDER_UNDECIDED} can be given. */
  public Instant quietUntil() {
    return quietUntil;
  }

  private void settle(String lastOrderId) {
    if (!undecidedId.isEmpty() && undecidedId.equals(lastOrderId)) {
      onDone(lastOrderId);
      quietUntil = Instant.MIN;
    }
  }
}
