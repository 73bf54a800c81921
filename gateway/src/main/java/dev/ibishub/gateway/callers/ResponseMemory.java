package dev.ibishub.gateway.callers;

import dev.ibishub.gateway.callers.CallerMemory.Kind;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Channel handler that holds memory for each part of a response until it is written to the socket,
 * or dropped, and counts it until then. Runs on the connection's event loop.
 */
public final class ResponseMemory extends ChannelOutboundHandlerAdapter {
  /** Memory of the objects of each part that waits to be written, bytes. */
  private static final int OBJECT_BYTES = 512;

  private final ConnectionMemory memory;
  private final UnwrittenResponses unwritten;

  /**
   * Creates a handler that holds the memory of a connection.
   *
   * @param unwritten counts the responses of all connections
   */
  public ResponseMemory(ConnectionMemory memory, UnwrittenResponses unwritten) {
    this.memory = memory;
    this.unwritten = unwritten;
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    long bytes = bytes(message);
    long heldBytes = OBJECT_BYTES + bytes;
    boolean isLastPart = message instanceof LastHttpContent;
    memory.hold(Kind.RESPONSE, heldBytes);
    unwritten.add(bytes, isLastPart);
    context
        .write(message, promise.unvoid())
        .addListener(
            ended -> {
              memory.release(Kind.RESPONSE, heldBytes);
              unwritten.remove(bytes, isLastPart);
            });
  }

  private static long bytes(Object message) {
    long headBytes =
        message instanceof HttpResponse response ? HeadSize.memoryOf(response.headers()) : 0;
    long bodyBytes = message instanceof HttpContent content ? content.content().readableBytes() : 0;
    return headBytes + bodyBytes;
  }
}
