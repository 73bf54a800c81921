package dev.ibishub.gateway.front;

import dev.ibishub.gateway.model.CallerLimits;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Request decoder that rejects requests which two parsers could read differently. A request with
 * both a length and chunked framing is one of these: a target that goes by the other of the two
 * could take the rest of the body for a second request (request smuggling).
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
  StrictRequestDecoder(CallerLimits limits) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(limits.maximumHeaderBytes())
            .setMaxHeaderSize(limits.maximumHeaderBytes()));
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
  }
}
