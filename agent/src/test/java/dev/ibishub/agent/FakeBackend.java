package dev.ibishub.agent;

import dev.ibishub.core.AnswerEnd;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Backend whose attempts end when a test calls {@link #finish}. */
final class FakeBackend implements Backend {
  final Map<String, CompletableFuture<AnswerEnd>> running = new LinkedHashMap<>();
  final Map<String, Attempt> attempts = new LinkedHashMap<>();
  int cancelled;

  @Override
  public CompletableFuture<AnswerEnd> run(Attempt attempt) {
    attempts.put(attempt.id(), attempt);
    CompletableFuture<AnswerEnd> end = new CompletableFuture<>();
    running.put(attempt.id(), end);
    return end;
  }

  @Override
  public void cancel(Attempt attempt) {
    cancelled++;
  }

  void finish(String attemptId, String... pieces) {
    for (int number = 0; number < pieces.length; number++) {
      attempts.get(attemptId).append(number, pieces[number]);
    }
    running.get(attemptId).complete(AnswerEnd.success(pieces.length));
  }
}
