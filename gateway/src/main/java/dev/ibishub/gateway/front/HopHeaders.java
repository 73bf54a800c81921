package dev.ibishub.gateway.front;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Arrays;
import java.util.List;

/** Headers that concern one connection only and are never passed on (RFC 9110, section 7.6.1). */
final class HopHeaders {
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

  private HopHeaders() {}

  /** Copies a request for another connection, with its body in one piece. */
  static FullHttpRequest endToEndCopy(FullHttpRequest request) {
    FullHttpRequest copy =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            request.method(),
            request.uri(),
            Unpooled.copiedBuffer(request.content()));
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

  static void removeFrom(HttpHeaders headers) {
    List<String> named = headers.getAll(HttpHeaderNames.CONNECTION);
    named.stream()
        .flatMap(value -> Arrays.stream(value.split(",")))
        .map(String::strip)
        .filter(name -> !name.isEmpty())
        .forEach(headers::remove);
    NAMES.forEach(headers::remove);
  }
}
