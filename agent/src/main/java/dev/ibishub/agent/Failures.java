package dev.ibishub.agent;

import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import java.util.concurrent.CompletionException;

/** What a {@code CompletableFuture} failed with. */
final class Failures {
  private Failures() {}

  static Throwable of(Throwable failure) {
    return failure instanceof CompletionException && failure.getCause() != null
        ? failure.getCause()
        : failure;
  }

  static ResultCode codeOf(Throwable failure) {
    return of(failure) instanceof ResultException result ? result.code() : ResultCode.INTERNAL;
  }

  static String messageOf(Throwable failure) {
    return String.valueOf(of(failure).getMessage());
  }
}
