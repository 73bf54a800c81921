package dev.ibishub.gateway.callers;

import dev.ibishub.gateway.callers.CallerMemory.Kind;
import dev.ibishub.gateway.model.CallerLimits;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Request decoder that rejects requests which two parsers could read differently, and holds memory
 * for what has arrived of an incomplete one. A request with both a length and chunked framing can
 * be read differently: a target that goes by the other of the two could take the rest of the body
 * for a second request (request smuggling).
 */
public final class StrictRequestDecoder extends HttpRequestDecoder {
  private final ConnectionMemory memory;

  /** Memory of the header lines that were read of an incomplete head, bytes. */
  private long parsedBytes;

  private long heldBytes;
  private boolean isInHead = true;
  private boolean isClosed;

  /**
   * Creates a decoder.
   *
   * @param limits the limits in force as the connection opens
   * @param memory the memory of the connection
   */
  public StrictRequestDecoder(CallerLimits limits, ConnectionMemory memory) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(limits.maximumHeaderBytes())
            .setMaxHeaderSize(limits.maximumHeaderBytes()));
    this.memory = memory;
  }

  /** Starts to hold memory; what is held is dropped with the decoder. */
  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    memory.addBuffer(() -> drop(context));
  }

  /** Removes this decoder with all that it has read, so that nothing more is decoded. */
  private void drop(ChannelHandlerContext context) {
    hold(0);
    isClosed = true;
    if (!context.isRemoved()) {
      context.pipeline().remove(this);
    }
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws Exception {
    int from = in.readerIndex();
    int messages = out.size();
    super.decode(context, in, out);
    if (out.size() > messages) {
      out.subList(messages, out.size()).forEach(this::onDecoded);
    } else if (isInHead) {
      parsedBytes += memoryOfLines(in, from, in.readerIndex());
    }
  }

  private void onDecoded(Object message) {
    if (message instanceof HttpRequest) {
      isInHead = false;
      parsedBytes = 0;
    }
    isInHead |= message instanceof LastHttpContent;
  }

  private static long memoryOfLines(ByteBuf in, int from, int to) {
    long bytes = (long) to - from;
    for (int at = from; at < to; at++) {
      bytes += in.getByte(at) == '\n' ? HeadSize.HEADER_BYTES : 0;
    }
    return bytes;
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) throws Exception {
    ByteBuf unread = internalBuffer();
    hold(parsedBytes + (unread.isReadable() ? unread.capacity() : 0));
    super.channelReadComplete(context);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) throws Exception {
    hold(0);
    isClosed = true;
    super.channelInactive(context);
  }

  private void hold(long bytes) {
    long change = bytes - heldBytes;
    if (isClosed || change == 0) {
      return;
    }
    heldBytes = bytes;
    memory.hold(Kind.ARRIVING_HEAD, change);
  }
}
