package dev.ibishub.agent;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * Runs asynchronous calls sequentially: each starts when the previous one has succeeded or failed.
 * Thread-safe.
 */
final class SequentialCalls {
  private CompletableFuture<?> last = CompletableFuture.completedFuture(null);

  synchronized <T> CompletableFuture<T> run(Supplier<CompletableFuture<T>> call) {
    CompletableFuture<T> next =
        last.handle((result, failure) -> null).thenCompose(unused -> call.get());
    last = next;
    return next;
  }
}
