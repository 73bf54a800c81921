package dev.ibishub.gateway.front;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Translation between the headers that callers and targets use and the values that the request path
 * needs. Thread-safe.
 */
public interface RequestDialect {
  /** Turns a caller's headers into those for a target, by changing {@code headers}. */
  void writeTargetHeaders(HttpHeaders headers, TargetRequest request);

  /** Reads a caller's request line and headers. */
  CallerRequest read(HttpRequest request);

  /** Reads the status and headers of a target's response. */
  TargetResponse read(HttpResponse response);
}
