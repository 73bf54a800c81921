package dev.ibishub.gateway.callers;

import dev.ibishub.gateway.model.CallerLimits;
import dev.ibishub.runtime.MonotonicClock;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Channel handler that records when bytes of a caller's requests arrive, and whether a request head
 * contains a folded header line, which the decoder would join silently. Not thread-safe.
 */
final class RequestReadMonitor extends ChannelInboundHandlerAdapter {
  private final CallerLimits limits;
  private long lastByteAt = MonotonicClock.millis();
  private long headDeadline = Long.MAX_VALUE;
  private boolean isInHead = true;
  private boolean isLineEmpty = true;
  private boolean hasFoldedLine;
  private boolean hasAnyLine;

  RequestReadMonitor(CallerLimits limits) {
    this.limits = limits;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    lastByteAt = MonotonicClock.millis();
    if (isInHead && message instanceof ByteBuf bytes) {
      if (headDeadline == Long.MAX_VALUE) {
        headDeadline = lastByteAt + limits.headerTimeoutMillis();
      }
      scan(bytes);
    }
    context.fireChannelRead(message);
  }

  /** Expects the head of the next request, after a request was read in full. */
  void expectHead() {
    isInHead = true;
    hasAnyLine = false;
    isLineEmpty = true;
    hasFoldedLine = false;
    headDeadline = Long.MAX_VALUE;
    lastByteAt = MonotonicClock.millis();
  }

  /** Restarts the idle time of the connection, after a request has ended. */
  void restartIdleTime() {
    lastByteAt = MonotonicClock.millis();
  }

  /** Notes that the head has been decoded. */
  void onHead() {
    isInHead = false;
    headDeadline = Long.MAX_VALUE;
  }

  /** Whether the head that arrived last contains a folded header line. */
  boolean hasFoldedLine() {
    return hasFoldedLine;
  }

  /**
   * Returns when bytes last arrived or the idle time was restarted, on the monotonic clock,
   * milliseconds.
   */
  long lastByteAt() {
    return lastByteAt;
  }

  /**
   * Returns when the head that is arriving must be complete, on the monotonic clock, milliseconds;
   * {@link Long#MAX_VALUE} while no head is arriving.
   */
  long headDeadline() {
    return headDeadline;
  }

  private void scan(ByteBuf bytes) {
    for (int i = bytes.readerIndex(); i < bytes.writerIndex() && isInHead; i++) {
      byte next = bytes.getByte(i);
      if (next == '\n') {
        if (isLineEmpty && hasAnyLine) {
          isInHead = false;
        }
        isLineEmpty = true;
      } else if (next != '\r') {
        hasFoldedLine |= isLineEmpty && hasAnyLine && (next == ' ' || next == '\t');
        isLineEmpty = false;
        hasAnyLine = true;
      }
    }
  }
}
