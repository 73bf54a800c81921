package dev.ibishub.outbound;

import java.io.IOException;
import java.net.http.HttpResponse.BodyHandler;
import java.net.http.HttpResponse.BodySubscriber;
import java.net.http.HttpResponse.ResponseInfo;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;

/**
 * Check for responses that the JDK's client lets through and that are none to the call: those whose
 * status RFC 9110 doesn't define, above 599, and those that carry the id of another call. The
 * client refuses any other status line or field that isn't HTTP's by itself.
 */
final class ResponseCheck {
  private static final int HIGHEST_STATUS = 599;

  private ResponseCheck() {}

  /**
   * Returns a handler that passes responses on to another one. Where the response is none to the
   * call, the body isn't read, and the call fails with an {@link IOException}.
   *
   * @param id the call's id; a response without any is taken for the call's own
   */
  static <T> BodyHandler<T> before(String id, BodyHandler<T> handler) {
    return response -> {
      Optional<IOException> failure = failure(id, response);
      return failure.isPresent() ? new Refusal<>(failure.get()) : handler.apply(response);
    };
  }

  private static Optional<IOException> failure(String id, ResponseInfo response) {
    if (response.statusCode() > HIGHEST_STATUS) {
      return Optional.of(
          new IOException("expected a status up to 599, found " + response.statusCode()));
    }
    List<String> ids = response.headers().allValues(OutboundHttp.CALL_ID_HEADER);
    return ids.isEmpty() || ids.equals(List.of(id))
        ? Optional.empty()
        : Optional.of(
            new IOException("expected a response to call %s, found %s".formatted(id, ids)));
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
