package dev.ibishub.gateway.callers;

import dev.ibishub.core.ResultCode;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

/**
 * One request on a caller's connection, and its response. All methods are called on the
 * connection's event loop and must not block.
 */
public interface CallerExchange {
  /** Creates the exchange of one request. */
  @FunctionalInterface
  interface Factory {
    /** Value of {@code Retry-After}, seconds, for a request that is one too many behind others. */
    String RETRY_AFTER_PIPELINE = "0.50";

    /**
     * Creates an exchange, which begins with {@link CallerExchange#start}.
     *
     * @param channel the caller's connection
     * @param memory the connection's memory, for what the exchange buffers of responses
     * @param request the whole request; the exchange releases it
     * @param onDone to be called once, on any thread, when the response was written or aborted
     */
    CallerExchange create(
        Channel channel, ConnectionMemory memory, FullHttpRequest request, Runnable onDone);

    /**
     * Returns the response to a request that is rejected before its exchange begins; without a body
     * unless overridden.
     *
     * @param status HTTP status
     * @param code why the request is rejected
     */
    default FullHttpResponse createRejection(int status, ResultCode code) {
      var response =
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
      if (code == ResultCode.OVERLOADED) {
        response.headers().set(HttpHeaderNames.RETRY_AFTER, RETRY_AFTER_PIPELINE);
      }
      return response;
    }
  }

  void start();

  /** Called when the connection becomes writable, or stops being so. */
  void onWritable(boolean writable);

  /** Called when the connection closed before the exchange was done. */
  void onCallerGone();

  /**
   * Whether the connection is closed after the response, or was closed within it; valid once the
   * exchange is done.
   */
  boolean closesConnection();
}
