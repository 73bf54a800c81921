package dev.ibishub.gateway.front;

import dev.ibishub.core.serving.AnswerTimes;
import dev.ibishub.core.serving.StreamProgress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** What this entry sees of each service's answers. Thread-safe. */
public final class ServiceWatch {
  private final Map<String, StreamProgress> streams = new ConcurrentHashMap<>();
  private final Map<String, AnswerTimes> answers = new ConcurrentHashMap<>();

  /** Returns whether a service's streams move. */
  StreamProgress streams(String service) {
    return streams.computeIfAbsent(service, any -> new StreamProgress());
  }

  /** Returns how long a service's good answers take that are no streams. */
  AnswerTimes answers(String service) {
    return answers.computeIfAbsent(service, any -> new AnswerTimes());
  }
}
