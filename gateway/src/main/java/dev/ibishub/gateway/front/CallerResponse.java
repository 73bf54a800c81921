package dev.ibishub.gateway.front;

import dev.ibishub.core.ResultCode;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.function.BooleanSupplier;

/**
 * Writer of the one response to a caller's request. Runs on the event loop of the caller's
 * connection; not thread-safe.
 */
final class CallerResponse {
  private final Channel channel;
  private final boolean isHeadRequest;
  private final boolean callerKeepsAlive;
  private final boolean callerAcceptsChunks;
  private final BooleanSupplier isLeaving;
  private boolean isHeadWritten;

  /**
   * Creates the writer of one response.
   *
   * @param isLeaving whether this process is about to stop, in which case connections close after
   *     their response
   */
  CallerResponse(Channel channel, HttpRequest request, BooleanSupplier isLeaving) {
    this.channel = channel;
    this.isHeadRequest = request.method().equals(HttpMethod.HEAD);
    this.callerKeepsAlive = HttpUtil.isKeepAlive(request);
    this.callerAcceptsChunks = request.protocolVersion().equals(HttpVersion.HTTP_1_1);
    this.isLeaving = isLeaving;
  }

  /** Whether the head has been written, after which no other response can be given. */
  boolean isHeadWritten() {
    return isHeadWritten;
  }

  /**
   * Whether more bytes can be written without exceeding the high watermark of the connection's
   * write buffer.
   */
  boolean isWritable() {
    return channel.isWritable();
  }

  /** Writes a complete response. */
  ChannelFuture writeWhole(int status, HttpHeaders headers, byte[] body) {
    isHeadWritten = true;
    var response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(status),
            isHeadRequest ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(body));
    response.headers().set(headers);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
    boolean keepAlive = keepsAlive();
    HttpUtil.setKeepAlive(response, keepAlive);
    return closeUnlessKeptAlive(channel.writeAndFlush(response), keepAlive);
  }

  /**
   * Writes a refusal with its result code.
   *
   * @param retryMillis value of {@code Retry-After}, milliseconds; 0 to send none
   */
  void writeRefusal(ResultCode code, long retryMillis) {
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    if (retryMillis > 0) {
      headers.set(
          HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.2f", retryMillis / 1_000.0));
    }
    String body = "{\"code\":" + code.number() + ",\"result\":\"" + code.name() + "\"}\n";
    writeWhole(code.httpStatus(), headers, body.getBytes(StandardCharsets.UTF_8));
  }

  /** Writes the head of a response whose length is not known. */
  void writeHead(int status, HttpHeaders headers) {
    isHeadWritten = true;
    var response =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
    response.headers().set(headers);
    if (callerAcceptsChunks) {
      response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    }
    HttpUtil.setKeepAlive(response, keepsAlive());
    channel.write(response);
  }

  /** Writes a piece of the body. */
  void writePiece(byte[] bytes) {
    channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
  }

  /** Completes a response whose head was written. */
  void finish() {
    closeUnlessKeptAlive(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT), keepsAlive());
  }

  /**
   * Closes the connection, so that the caller does not take the partial response for a complete
   * one.
   */
  void abort() {
    channel.close();
  }

  private boolean keepsAlive() {
    return callerKeepsAlive && callerAcceptsChunks && !isLeaving.getAsBoolean();
  }

  private static ChannelFuture closeUnlessKeptAlive(ChannelFuture written, boolean keepAlive) {
    return keepAlive ? written : written.addListener(ChannelFutureListener.CLOSE);
  }
}
