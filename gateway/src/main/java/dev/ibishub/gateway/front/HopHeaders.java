package dev.ibishub.gateway.front;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
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
