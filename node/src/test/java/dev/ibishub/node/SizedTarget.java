package dev.ibishub.node;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;

/**
 * A target whose responses are as large as the path of the request says: {@code
 * /page/bytes/COUNT/ID}, {@code /stream/events/COUNT/BYTES/ID}; {@code /page/silence/ID} is not
 * answered at all. Writes only as its peer reads. Thread-safe.
 */
final class SizedTarget implements AutoCloseable {
  private static final int MAXIMUM_BODY_BYTES = 8 << 20;
  private static final int PIECE_BYTES = 32 << 10;

  /** The bytes of all large responses, shared so that they take no memory of the test. */
  private static final byte[] PIECE = "x".repeat(PIECE_BYTES).getBytes(StandardCharsets.US_ASCII);

  private final String id;
  private final Channel server;

  SizedTarget(String id, EventLoopGroup group) {
    this.id = id;
    this.server =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel connection) {
                    connection
                        .pipeline()
                        .addLast(new HttpServerCodec())
                        .addLast(new HttpObjectAggregator(MAXIMUM_BODY_BYTES))
                        .addLast(new Responses());
                  }
                })
            .bind("127.0.0.1", 0)
            .syncUninterruptibly()
            .channel();
  }

  /** Returns the record by which the target announces itself, in JSON. */
  String announcement(String service) {
    return "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"z1\",\"slots\":4000,"
            .formatted(service, ((InetSocketAddress) server.localAddress()).getPort())
        + "\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1}";
  }

  @Override
  public void close() {
    server.close().syncUninterruptibly();
  }

  private final class Responses extends SimpleChannelInboundHandler<FullHttpRequest> {
    /** Bytes of the response, or of its current event, that are not written yet. */
    private long left;

    private int eventBytes;
    private int eventsLeft;
    private int eventNumber;
    private boolean isWriting;

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      String[] path = request.uri().split("/", -1);
      if (path[2].equals("silence")) {
        return;
      }
      boolean isStream = path[1].equals("stream");
      HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
      head.headers()
          .set("X-Attempt-Id", request.headers().get("X-Attempt-Id", ""))
          .set("X-Server-Stamp", "stamp-" + id);
      if (isStream) {
        eventsLeft = Integer.parseInt(path[3]);
        eventBytes = Integer.parseInt(path[4]);
        head.headers().set("Content-Type", "text/event-stream");
        HttpUtil.setTransferEncodingChunked(head, true);
      } else {
        left = Long.parseLong(path[3]);
        HttpUtil.setContentLength(head, left);
      }
      context.write(head);
      writeOn(context);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
      writeOn(context);
    }

    /** Writes on while the peer reads. Writing changes the writability, which calls this again. */
    private void writeOn(ChannelHandlerContext context) {
      if (isWriting) {
        return;
      }
      isWriting = true;
      do {
        writeWhileWritable(context);
        context.flush();
      } while (context.channel().isWritable() && (left > 0 || eventsLeft > 0));
      isWriting = false;
    }

    private void writeWhileWritable(ChannelHandlerContext context) {
      while (context.channel().isWritable() && (left > 0 || eventsLeft > 0)) {
        if (left == 0) {
          beginEvent(context);
        } else {
          int bytes = (int) Math.min(left, PIECE_BYTES);
          left -= bytes;
          context.write(new DefaultHttpContent(Unpooled.wrappedBuffer(PIECE, 0, bytes)));
          endIfDue(context);
        }
      }
    }

    private void beginEvent(ChannelHandlerContext context) {
      eventsLeft--;
      eventNumber++;
      left = eventBytes;
      context.write(new DefaultHttpContent(text("id: %d\ndata: ".formatted(eventNumber))));
    }

    private void endIfDue(ChannelHandlerContext context) {
      if (left > 0) {
        return;
      }
      if (eventBytes > 0) {
        context.write(new DefaultHttpContent(text("\n\n")));
      }
      if (eventsLeft == 0) {
        eventBytes = 0;
        eventNumber = 0;
        context.write(LastHttpContent.EMPTY_LAST_CONTENT);
      }
    }

    private static ByteBuf text(String text) {
      return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
