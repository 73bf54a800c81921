package dev.ibishub.gateway.front;

import dev.ibishub.core.serving.AnswerTimes;
import dev.ibishub.core.serving.StreamProgress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Statistics of each service's responses, as this entry sees them. Thread-safe. */
public final class ServiceStatistics {
  private final Map<String, StreamProgress> streamProgress = new ConcurrentHashMap<>();
  private final Map<String, AnswerTimes> responseTimes = new ConcurrentHashMap<>();

  /** Returns the progress of a service's streams. */
  StreamProgress streamProgress(String service) {
    return streamProgress.computeIfAbsent(service, key -> new StreamProgress());
  }

  /** Returns the durations of a service's successful responses other than streams. */
  AnswerTimes responseTimes(String service) {
    return responseTimes.computeIfAbsent(service, key -> new AnswerTimes());
  }
}
