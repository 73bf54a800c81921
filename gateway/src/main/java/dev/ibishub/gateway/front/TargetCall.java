package dev.ibishub.gateway.front;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;

/**
 * One attempt at one target, on a connection of its own. Runs on the event loop of the caller's
 * connection; not thread-safe.
 *
 * <p>A connection is never used twice. A target may send a second answer late, or bytes after the
 * end of its answer; on a connection used again they would be taken for the next request's answer.
 * Opening one costs a round trip within the deployment.
 */
final class TargetCall {
  /** How long a connection may take to come about, milliseconds; usual is 1 to 5. */
  static final int CONNECT_TIMEOUT_MILLIS = 350;

  private static final int MAXIMUM_HEAD_BYTES = 65_536;
  private static final HttpDecoderConfig DECODING =
      new HttpDecoderConfig()
          .setMaxInitialLineLength(MAXIMUM_HEAD_BYTES)
          .setMaxHeaderSize(MAXIMUM_HEAD_BYTES);

  private final Listener listener;
  private Channel channel;
  private boolean isOver;
  private boolean isInterim;

  /** Told what happens; nothing follows {@code onEnd}, {@code onBroken} and {@code onNotSent}. */
  interface Listener {
    void onHead(HttpResponse response);

    void onBody(byte[] bytes);

    /** The answer is complete. */
    void onEnd();

    /** The connection ended, or the bytes were no answer, before the answer was complete. */
    void onBroken(String cause);

    /** No connection came about, so the target has seen nothing. */
    void onNotSent(String cause);
  }

  private TargetCall(Listener listener) {
    this.listener = listener;
  }

  /**
   * Starts an attempt.
   *
   * @param loop the event loop to run on
   * @param address where the target answers
   * @param request what to send; released here in any case
   */
  static TargetCall start(
      EventLoop loop, InetSocketAddress address, FullHttpRequest request, Listener listener) {
    TargetCall call = new TargetCall(listener);
    boolean isHead = request.method().equals(HttpMethod.HEAD);
    ChannelFuture connecting =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel created) {
                    created
                        .pipeline()
                        .addLast(new HttpRequestEncoder())
                        .addLast(new AnswerDecoder(isHead))
                        .addLast(call.new AnswerHandler());
                  }
                })
            .connect(address);
    call.channel = connecting.channel();
    // A connection may fail before this method returns; the listener must not hear of it earlier.
    connecting.addListener(
        future ->
            loop.execute(() -> call.onConnected(future.isSuccess(), future.cause(), request)));
    return call;
  }

  /** Ends the attempt; the target sees its connection close. Nothing is told any more. */
  void cancel() {
    isOver = true;
    channel.close();
  }

  /** Stops or resumes taking bytes, to hold a target back while its caller reads slowly. */
  void setReading(boolean reading) {
    channel.config().setAutoRead(reading);
  }

  private void onConnected(boolean connected, Throwable cause, FullHttpRequest request) {
    if (isOver) {
      request.release();
      channel.close();
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
                breakOff("request not written: " + written.cause());
              }
            });
  }

  private void breakOff(String cause) {
    if (!isOver) {
      end();
      listener.onBroken(cause);
    }
  }

  private void end() {
    isOver = true;
    channel.close();
  }

  /** Knows that the answer to a HEAD request has no body, whatever its length says. */
  private static final class AnswerDecoder extends HttpResponseDecoder {
    private final boolean isHead;

    AnswerDecoder(boolean isHead) {
      super(DECODING);
      this.isHead = isHead;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
      return isHead || super.isContentAlwaysEmpty(message);
    }
  }

  private final class AnswerHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      try {
        if (!isOver) {
          take(message);
        }
      } finally {
        ReferenceCountUtil.release(message);
      }
    }

    private void take(Object message) {
      if (message instanceof HttpResponse response) {
        if (!response.decoderResult().isSuccess()) {
          breakOff("not an HTTP answer: " + response.decoderResult().cause());
          return;
        }
        isInterim = response.status().code() < HttpResponseStatus.OK.code();
        if (!isInterim) {
          listener.onHead(response);
        }
      }
      if (!isOver && !isInterim && message instanceof HttpContent content) {
        takeContent(content);
      }
    }

    private void takeContent(HttpContent content) {
      if (!content.decoderResult().isSuccess()) {
        breakOff("broken framing: " + content.decoderResult().cause());
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
      breakOff("connection closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      // A reset comes here before the decoder would take the closed connection for the end of an
      // answer without a length; such an answer is not complete.
      breakOff("connection failed: " + cause);
    }
  }
}
