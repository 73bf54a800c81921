package dev.ibishub.gateway.front;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/** How callers and targets spell what the request path needs to know. Thread-safe. */
public interface RequestDialect {
  /** Turns a caller's headers into those for a target; changes {@code headers}. */
  void address(HttpHeaders headers, TargetRequest request);

  /** Reads a caller's request line and headers. */
  CallerRequest read(HttpRequest request);

  /** Reads the status and headers of a target's answer. */
  TargetAnswer read(HttpResponse response);
}
