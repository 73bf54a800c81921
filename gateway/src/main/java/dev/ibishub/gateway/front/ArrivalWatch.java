package dev.ibishub.gateway.front;

import dev.ibishub.gateway.model.CallerLimits;
import dev.ibishub.runtime.MonotonicClock;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Watches the raw bytes of a caller's connection: when they come, and whether a request's headers
 * hold a folded line, which the decoder would join silently. Not thread-safe.
 */
final class ArrivalWatch extends ChannelInboundHandlerAdapter {
  private final CallerLimits limits;
  private long lastByteAt = MonotonicClock.millis();
  private long headDeadline = Long.MAX_VALUE;
  private boolean isInHead = true;
  private boolean lineIsEmpty = true;
  private boolean isFolded;
  private boolean isAnyLine;

  ArrivalWatch(CallerLimits limits) {
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

  /** A request was answered; the next bytes are those of a new head. */
  void expectHead() {
    isInHead = true;
    isAnyLine = false;
    lineIsEmpty = true;
    isFolded = false;
    headDeadline = Long.MAX_VALUE;
    lastByteAt = MonotonicClock.millis();
  }

  /** The connection was in use; its idle time starts anew. */
  void touch() {
    lastByteAt = MonotonicClock.millis();
  }

  /** The head was read. */
  void onHead() {
    isInHead = false;
    headDeadline = Long.MAX_VALUE;
  }

  boolean isFolded() {
    return isFolded;
  }

  long lastByteAt() {
    return lastByteAt;
  }

  /** When the head that is arriving has to be complete; a very late time while none is. */
  long headDeadline() {
    return headDeadline;
  }

  private void scan(ByteBuf bytes) {
    for (int i = bytes.readerIndex(); i < bytes.writerIndex() && isInHead; i++) {
      byte next = bytes.getByte(i);
      if (next == '\n') {
        if (lineIsEmpty && isAnyLine) {
          isInHead = false;
        }
        lineIsEmpty = true;
      } else if (next != '\r') {
        isFolded |= lineIsEmpty && isAnyLine && (next == ' ' || next == '\t');
        lineIsEmpty = false;
        isAnyLine = true;
      }
    }
  }
}
