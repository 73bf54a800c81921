package dev.ibishub.gateway.callers;

import dev.ibishub.gateway.callers.CallerMemory.Kind;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Channel handler that holds memory for each part of a response until it is written to the socket,
 * or dropped. Runs on the connection's event loop.
 */
public final class ResponseMemory extends ChannelOutboundHandlerAdapter {
  /** Memory of the objects of each part that waits to be written, bytes. */
  private static final int OBJECT_BYTES = 512;

  private final ConnectionMemory memory;

  /** Creates a handler that holds the memory of a connection. */
  public ResponseMemory(ConnectionMemory memory) {
    this.memory = memory;
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    long bytes = bytes(message);
    memory.hold(Kind.RESPONSE, bytes);
    context
        .write(message, promise.unvoid())
        .addListener(written -> memory.release(Kind.RESPONSE, bytes));
  }

  private static long bytes(Object message) {
    long headBytes =
        message instanceof HttpResponse response ? HeadSize.memoryOf(response.headers()) : 0;
    long bodyBytes = message instanceof HttpContent content ? content.content().readableBytes() : 0;
    return OBJECT_BYTES + headBytes + bodyBytes;
  }
}
