package dev.ibishub.gateway.front;

import dev.ibishub.gateway.http.StrictResponseDecoder;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;

/**
 * One attempt at one target, on a connection of its own. Runs on the event loop of the caller's
 * connection; not thread-safe.
 *
 * <p>Connections are never reused. A target may send a second response late, or bytes after the end
 * of its response; on a reused connection these would be taken for the response to the next
 * request. Opening a connection costs one round trip within the deployment.
 */
final class TargetCall {
  /** Connect timeout, milliseconds; connecting usually takes 1 to 5. */
  static final int CONNECT_TIMEOUT_MILLIS = 350;

  /** Maximum size of all that precedes a response's body, interim responses included, bytes. */
  static final int MAXIMUM_HEAD_BYTES = 65_536;

  private static final HttpDecoderConfig DECODING =
      new HttpDecoderConfig()
          .setMaxInitialLineLength(MAXIMUM_HEAD_BYTES)
          .setMaxHeaderSize(MAXIMUM_HEAD_BYTES);

  /** Bounds what is read of a response before its caller's connection takes no more. */
  private static final RecvByteBufAllocator READ_BUFFERS =
      new AdaptiveRecvByteBufAllocator(64, 2_048, 16_384);

  private final Listener listener;
  private Channel channel;
  private boolean isOver;
  private boolean isInterimResponse;
  private boolean isHeadRead;

  /**
   * Receives the events of the call; nothing follows {@code onEnd}, {@code onBroken} or {@code
   * onNotSent}.
   */
  interface Listener {
    void onHead(HttpResponse response);

    void onBody(byte[] bytes);

    /** Called when the response is complete. */
    void onEnd();

    /**
     * Called when the connection ended or invalid bytes arrived before the response was complete.
     */
    void onBroken(String cause);

    /** Called when no connection was established, so that the target has received nothing. */
    void onNotSent(String cause);
  }

  private TargetCall(Listener listener) {
    this.listener = listener;
  }

  /**
   * Starts an attempt.
   *
   * @param loop the event loop to run on
   * @param address where the target listens
   * @param request the request to send; released by this class in any case
   */
  static TargetCall start(
      EventLoop loop, InetSocketAddress address, FullHttpRequest request, Listener listener) {
    TargetCall call = new TargetCall(listener);
    boolean isHeadRequest = request.method().equals(HttpMethod.HEAD);
    ChannelFuture connecting =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .option(ChannelOption.RECVBUF_ALLOCATOR, READ_BUFFERS)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel created) {
                    created
                        .pipeline()
                        .addLast(new HttpRequestEncoder())
                        .addLast(call.new HeadLimit())
                        .addLast(new StrictResponseDecoder(DECODING, isHeadRequest))
                        .addLast(call.new ResponseHandler());
                  }
                })
            .connect(address);
    call.channel = connecting.channel();
    // Connecting may fail before this method returns; the listener must not be called earlier.
    connecting.addListener(
        future ->
            loop.execute(() -> call.onConnected(future.isSuccess(), future.cause(), request)));
    return call;
  }

  /** Cancels the attempt: closes the connection and stops calling the listener. */
  void cancel() {
    end();
  }

  /** Whether the connection is open. */
  boolean isConnected() {
    return channel.isOpen();
  }

  /** Stops or resumes reading, as backpressure on the target while its caller reads slowly. */
  void setReading(boolean reading) {
    channel.config().setAutoRead(reading);
  }

  private void onConnected(boolean connected, Throwable cause, FullHttpRequest request) {
    if (isOver) {
      request.release();
      end();
      return;
    }
    if (!connected) {
      request.release();
      end();
      listener.onNotSent(String.valueOf(cause));
      return;
    }
    channel
        .writeAndFlush(request)
        .addListener(
            written -> {
              if (!written.isSuccess()) {
                fail("request not written: " + written.cause());
              }
            });
  }

  private void fail(String cause) {
    if (!isOver) {
      end();
      listener.onBroken(cause);
    }
  }

  private void end() {
    isOver = true;
    // A channel that could not even be created can't be closed either.
    if (channel.isOpen()) {
      channel.close();
    }
  }

  /**
   * Ends the attempt if too much arrives before the head of the response is complete. The decoder
   * limits each head by itself, but neither their number nor the bytes that it skips before one.
   */
  private final class HeadLimit extends ChannelInboundHandlerAdapter {
    private long receivedBytes;

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      receivedBytes += ((ByteBuf) message).readableBytes();
      context.fireChannelRead(message);
      if (!isHeadRead && receivedBytes > MAXIMUM_HEAD_BYTES) {
        fail("no head of a response in the first " + receivedBytes + " bytes");
      }
    }
  }

  private final class ResponseHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      try {
        if (!isOver) {
          handle(message);
        }
      } finally {
        ReferenceCountUtil.release(message);
      }
    }

    private void handle(Object message) {
      if (message instanceof HttpResponse response) {
        if (!response.decoderResult().isSuccess()) {
          fail("not an HTTP answer: " + response.decoderResult().cause());
          return;
        }
        isInterimResponse = response.status().code() < HttpResponseStatus.OK.code();
        if (!isInterimResponse) {
          isHeadRead = true;
          listener.onHead(response);
        }
      }
      if (!isOver && !isInterimResponse && message instanceof HttpContent content) {
        handleContent(content);
      }
    }

    private void handleContent(HttpContent content) {
      if (!content.decoderResult().isSuccess()) {
        fail("broken framing: " + content.decoderResult().cause());
        return;
      }
      ByteBuf bytes = content.content();
      if (bytes.isReadable()) {
        listener.onBody(ByteBufUtil.getBytes(bytes));
      }
      if (!isOver && content instanceof LastHttpContent) {
        end();
        listener.onEnd();
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      fail("connection closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      // A reset is reported here before the decoder would take the closed connection for the end of
      // a response without a length; such a response is incomplete.
      fail("connection failed: " + cause);
    }
  }
}
