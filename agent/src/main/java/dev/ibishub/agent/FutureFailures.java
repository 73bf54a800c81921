package dev.ibishub.agent;

import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import java.util.concurrent.CompletionException;

/** Reads the cause, result code and message of a failed {@code CompletableFuture}. */
final class FutureFailures {
  private FutureFailures() {}

  static Throwable causeOf(Throwable failure) {
    return failure instanceof CompletionException && failure.getCause() != null
        ? failure.getCause()
        : failure;
  }

  static ResultCode codeOf(Throwable failure) {
    return causeOf(failure) instanceof ResultException result ? result.code() : ResultCode.INTERNAL;
  }

  static String messageOf(Throwable failure) {
    return String.valueOf(causeOf(failure).getMessage());
  }
}
