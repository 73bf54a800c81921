package dev.ibishub.wire;

import com.google.common.flogger.FluentLogger;
import dev.ibishub.core.ResultCode;
import dev.ibishub.wire.generated.Frame;
import dev.ibishub.wire.generated.Hello;
import dev.ibishub.wire.generated.HelloReply;
import dev.ibishub.wire.generated.Ping;
import dev.ibishub.wire.generated.Pong;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import java.io.IOException;
import java.util.function.Consumer;
import java.util.logging.Level;

/** Performs the handshake and heartbeat of one connection and delivers its other frames. */
final class FrameHandler extends SimpleChannelInboundHandler<Frame> {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Identity identity;
  private final LinkListener listener;
  private final boolean initiator;
  private final Runnable onHandshake;
  private final Consumer<Throwable> onHandshakeFailure;
  private Link link;

  FrameHandler(
      Identity identity,
      LinkListener listener,
      boolean initiator,
      Runnable onHandshake,
      Consumer<Throwable> onHandshakeFailure) {
    this.identity = identity;
    this.listener = listener;
    this.initiator = initiator;
    this.onHandshake = onHandshake;
    this.onHandshakeFailure = onHandshakeFailure;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    if (initiator) {
      context.writeAndFlush(Frame.newBuilder().setHello(identity.hello()).build());
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, Frame frame) {
    switch (frame.getBodyCase()) {
      case HELLO -> onHello(context, frame.getHello());
      case HELLO_REPLY -> onHelloReply(context, frame.getHelloReply());
      case PING -> context.writeAndFlush(pong(frame.getPing()));
      case PONG -> {}
      default -> deliver(context, frame);
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (!(event instanceof IdleStateEvent idle)) {
      context.fireUserEventTriggered(event);
      return;
    }
    if (idle.state() == IdleState.READER_IDLE) {
      // The connection to a peer that is frozen, or cut off without a TCP reset, stays open for
      // ever, but nothing arrives, not even pongs. Closing it makes this an ordinary disconnect.
      context.close();
      return;
    }
    context.writeAndFlush(Frame.newBuilder().setPing(Ping.getDefaultInstance()).build());
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    if (link == null) {
      onHandshakeFailure.accept(new IOException("connection closed during the handshake"));
      return;
    }
    listener.onClose(link);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    // Resets and malformed frames are usual; an error is a fault in this process.
    logger.at(cause instanceof Error ? Level.WARNING : Level.FINE).withCause(cause).log(
        "event=link.failed peer=%s", link);
    context.close();
  }

  private void onHello(ChannelHandlerContext context, Hello hello) {
    if (initiator || link != null) {
      context.close();
      return;
    }
    if (hello.getProtocolVersion() != Identity.PROTOCOL_VERSION) {
      String detail =
          "protocol version "
              + hello.getProtocolVersion()
              + ", expected "
              + Identity.PROTOCOL_VERSION;
      context
          .writeAndFlush(helloReply(ResultCode.PROTOCOL_VERSION, detail))
          .addListener(future -> context.close());
      return;
    }
    context.writeAndFlush(helloReply(ResultCode.OK, ""));
    openLink(
        context,
        new Link.Peer(
            hello.getProcessId(), hello.getRole(), hello.getZone(), hello.getIncarnation()));
  }

  private void onHelloReply(ChannelHandlerContext context, HelloReply reply) {
    if (!initiator || link != null) {
      context.close();
      return;
    }
    if (reply.getResultCode() != ResultCode.OK.number()) {
      logger.atWarning().log(
          "event=link.refused peer=%s code=%d detail=\"%s\"",
          reply.getProcessId(), reply.getResultCode(), reply.getDetail());
      context.close();
      return;
    }
    openLink(context, Link.Peer.of(reply));
  }

  private void openLink(ChannelHandlerContext context, Link.Peer peer) {
    link = Link.over(context.channel(), peer);
    onHandshake.run();
    listener.onOpen(link);
  }

  private void deliver(ChannelHandlerContext context, Frame frame) {
    if (link == null) {
      context.close();
      return;
    }
    listener.onFrame(link, frame);
  }

  private Frame helloReply(ResultCode code, String detail) {
    return Frame.newBuilder().setHelloReply(identity.reply(code, detail)).build();
  }

  private static Frame pong(Ping ping) {
    return Frame.newBuilder().setPong(Pong.newBuilder().setSequence(ping.getSequence())).build();
  }
}
