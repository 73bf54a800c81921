package dev.ibishub.gateway.front;

import dev.ibishub.gateway.model.CallerLimits;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Reads requests and refuses those that two readers could take for different ones. A request that
 * names both a length and chunks is such a one: a target that goes by the other could take the rest
 * of its body for a second request.
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
