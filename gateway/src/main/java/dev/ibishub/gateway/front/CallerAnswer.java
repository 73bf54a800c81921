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
 * Writes the one answer to a caller's request. Runs on the event loop of the caller's connection;
 * not thread-safe.
 */
final class CallerAnswer {
  private final Channel channel;
  private final boolean isHead;
  private final boolean callerKeeps;
  private final boolean callerTakesChunks;
  private final BooleanSupplier isLeaving;
  private boolean isBegun;

  /**
   * Creates the writer of one answer.
   *
   * @param isLeaving whether this process is about to stop, so that connections end with an answer
   */
  CallerAnswer(Channel channel, HttpRequest request, BooleanSupplier isLeaving) {
    this.channel = channel;
    this.isHead = request.method().equals(HttpMethod.HEAD);
    this.callerKeeps = HttpUtil.isKeepAlive(request);
    this.callerTakesChunks = request.protocolVersion().equals(HttpVersion.HTTP_1_1);
    this.isLeaving = isLeaving;
  }

  /** Whether the head was written, so that no other answer can be given. */
  boolean isBegun() {
    return isBegun;
  }

  /** Whether more bytes can be written without piling up in memory. */
  boolean isWritable() {
    return channel.isWritable();
  }

  /** Writes a whole answer. */
  ChannelFuture whole(int status, HttpHeaders headers, byte[] body) {
    isBegun = true;
    var response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(status),
            isHead ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(body));
    response.headers().set(headers);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
    boolean keep = keeps();
    HttpUtil.setKeepAlive(response, keep);
    return endWith(channel.writeAndFlush(response), keep);
  }

  /**
   * Writes that there is no answer, and why.
   *
   * @param retryMillis when to come back, milliseconds; 0 where there is nothing to say
   */
  void refusal(ResultCode code, long retryMillis) {
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    if (retryMillis > 0) {
      headers.set(
          HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.2f", retryMillis / 1_000.0));
    }
    String body = "{\"code\":" + code.number() + ",\"result\":\"" + code.name() + "\"}\n";
    whole(code.httpStatus(), headers, body.getBytes(StandardCharsets.UTF_8));
  }

  /** Writes the head of an answer whose length is not known. */
  void begin(int status, HttpHeaders headers) {
    isBegun = true;
    var response =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
    response.headers().set(headers);
    if (callerTakesChunks) {
      response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    }
    HttpUtil.setKeepAlive(response, keeps());
    channel.write(response);
  }

  /** Writes a part of the body. */
  void part(byte[] bytes) {
    channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
  }

  /** Ends an answer that was begun. */
  void end() {
    endWith(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT), keeps());
  }

  /** Closes the connection, so that the answer does not look complete. */
  void breakOff() {
    channel.close();
  }

  private boolean keeps() {
    return callerKeeps && callerTakesChunks && !isLeaving.getAsBoolean();
  }

  private static ChannelFuture endWith(ChannelFuture written, boolean keep) {
    return keep ? written : written.addListener(ChannelFutureListener.CLOSE);
  }
}
