package dev.ibishub.agent;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** Starts each call when the one before has ended, however it ended. Thread-safe. */
final class OneAtATime {
  private CompletableFuture<?> last = CompletableFuture.completedFuture(null);

  synchronized <T> CompletableFuture<T> run(Supplier<CompletableFuture<T>> call) {
    CompletableFuture<T> next =
        last.handle((result, failure) -> null).thenCompose(unused -> call.get());
    last = next;
    return next;
  }
}
