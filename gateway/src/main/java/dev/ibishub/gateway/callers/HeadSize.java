package dev.ibishub.gateway.callers;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Iterator;
import java.util.Map;

/** Estimates of the memory that the head of a request or response takes. */
final class HeadSize {
  /** Memory of the objects of one header, besides its characters, bytes. */
  static final int HEADER_BYTES = 160;

  private HeadSize() {}

  /** Returns the memory that headers take, bytes. */
  static long memoryOf(HttpHeaders headers) {
    long bytes = 0;
    Iterator<Map.Entry<CharSequence, CharSequence>> each = headers.iteratorCharSequence();
    while (each.hasNext()) {
      Map.Entry<CharSequence, CharSequence> header = each.next();
      bytes += HEADER_BYTES + header.getKey().length() + header.getValue().length();
    }
    return bytes;
  }
}
