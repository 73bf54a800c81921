package dev.ibishub.gateway.front;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Arrays;
import java.util.List;

/**
 * Hop-by-hop headers: those that concern one connection only and are never forwarded (RFC 9110,
 * section 7.6.1).
 */
final class HopByHopHeaders {
  private static final List<CharSequence> NAMES =
      List.of(
          HttpHeaderNames.CONNECTION,
          HttpHeaderNames.TRANSFER_ENCODING,
          HttpHeaderNames.CONTENT_LENGTH,
          HttpHeaderNames.TE,
          HttpHeaderNames.TRAILER,
          HttpHeaderNames.UPGRADE,
          HttpHeaderNames.EXPECT,
          HttpHeaderNames.PROXY_AUTHENTICATE,
          HttpHeaderNames.PROXY_AUTHORIZATION,
          "keep-alive",
          "proxy-connection");

  private HopByHopHeaders() {}

  /**
   * Copies a request for another connection, without hop-by-hop headers and with its body in one
   * piece. The copy shares the bytes of the body and is released apart from the request.
   */
  static FullHttpRequest endToEndCopy(FullHttpRequest request) {
    FullHttpRequest copy =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            request.method(),
            request.uri(),
            request.content().retainedDuplicate());
    copy.headers().set(request.headers());
    boolean hasBody =
        request.content().isReadable()
            || request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
            || request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
    removeFrom(copy.headers());
    if (hasBody) {
      copy.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
    }
    return copy;
  }

  /** Removes the hop-by-hop headers and those that {@code Connection} lists. */
  static void removeFrom(HttpHeaders headers) {
    List<String> connectionHeaders = headers.getAll(HttpHeaderNames.CONNECTION);
    connectionHeaders.stream()
        .flatMap(value -> Arrays.stream(value.split(",")))
        .map(String::strip)
        .filter(name -> !name.isEmpty())
        .forEach(headers::remove);
    NAMES.forEach(headers::remove);
  }
}
