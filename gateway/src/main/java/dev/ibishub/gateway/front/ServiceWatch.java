package dev.ibishub.gateway.front;

import dev.ibishub.core.serving.StreamProgress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Whether the streams of each service move. Thread-safe. */
public final class StreamWatch {
  private final Map<String, StreamProgress> byService = new ConcurrentHashMap<>();

  /** Returns what is known of a service's streams. */
  StreamProgress of(String service) {
    return byService.computeIfAbsent(service, any -> new StreamProgress());
  }
}
