package dev.ibishub.gateway.callers;

import dev.ibishub.core.ResultCode;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;

/**
 * Handler of a connection for which there is no room: tells the caller when to come back, and reads
 * nothing. Runs on the connection's event loop.
 */
final class ConnectionRefusal extends ChannelInboundHandlerAdapter {
  /**
   * Time for which the connection stays open so that the caller can read the refusal, milliseconds.
   * A close while its request arrives would reset the connection.
   */
  private static final long LINGER_MILLIS = 250;

  private final CallerExchange.Factory exchanges;

  ConnectionRefusal(CallerExchange.Factory exchanges) {
    this.exchanges = exchanges;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    FullHttpResponse refusal =
        exchanges.createRejection(ResultCode.OVERLOADED.httpStatus(), ResultCode.OVERLOADED);
    refusal.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    context
        .writeAndFlush(refusal)
        .addListener(
            (ChannelFuture written) -> ((SocketChannel) written.channel()).shutdownOutput());
    context.executor().schedule(() -> context.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    ReferenceCountUtil.release(message);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }
}
