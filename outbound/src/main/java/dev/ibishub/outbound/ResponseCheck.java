package dev.ibishub.outbound;

import java.io.IOException;
import java.net.http.HttpResponse.BodyHandler;
import java.net.http.HttpResponse.BodySubscriber;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;

/**
 * Check for statuses that RFC 9110 doesn't define and the JDK's client lets through: those above
 * 599. The client refuses any other status line or field that isn't HTTP's by itself.
 */
final class StatusCheck {
  private static final int HIGHEST_STATUS = 599;

  private StatusCheck() {}

  /**
   * Returns a handler that passes responses on to another one. Where the status is none, the body
   * isn't read, and the call fails with an {@link IOException}.
   */
  static <T> BodyHandler<T> before(BodyHandler<T> handler) {
    return response ->
        response.statusCode() > HIGHEST_STATUS
            ? new Refusal<>(
                new IOException("expected a status up to 599, found " + response.statusCode()))
            : handler.apply(response);
  }

  /** Subscriber that closes the connection instead of reading the body. */
  private record Refusal<T>(IOException failure) implements BodySubscriber<T> {
    @Override
    public CompletionStage<T> getBody() {
      return CompletableFuture.failedFuture(failure);
    }

    @Override
    public void onSubscribe(Flow.Subscription subscription) {
      subscription.cancel();
    }

    @Override
    public void onNext(List<ByteBuffer> buffers) {}

    @Override
    public void onError(Throwable thrown) {}

    @Override
    public void onComplete() {}
  }
}
