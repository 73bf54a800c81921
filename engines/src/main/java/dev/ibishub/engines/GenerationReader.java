package dev.ibishub.engines;

import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import dev.ibishub.outbound.BoundedBody;
import dev.ibishub.outbound.OutboundHttp;
import dev.ibishub.outbound.OutboundJson;
import java.io.IOException;
import java.net.http.HttpResponse.BodyHandler;
import java.net.http.HttpResponse.BodySubscriber;
import java.net.http.HttpResponse.BodySubscribers;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Flow;
import java.util.function.Supplier;

/**
 * Reads the lines of one streamed generation and checks that the answer is complete. Not
 * thread-safe: the HTTP client calls it sequentially.
 */
final class GenerationReader implements Flow.Subscriber<String> {
  private final GenerationListener listener;
  private long nextPiece;
  private GenerationEnd end;
  private ResultException failure;
  private Flow.Subscription subscription;

  private GenerationReader(long firstPiece, GenerationListener listener) {
    this.nextPiece = firstPiece;
    this.listener = listener;
  }

  /**
   * Returns a body handler that reads a generation from status 200, and a refusal from any other.
   * Its supplier returns the end of the answer or throws a {@link ResultException}.
   */
  static BodyHandler<Supplier<GenerationEnd>> handler(
      long firstPiece, GenerationListener listener, OutboundHttp.Failures failures) {
    return response -> {
      if (response.statusCode() == 200) {
        GenerationReader reader = new GenerationReader(firstPiece, listener);
        return BoundedBody.lines(
            BodySubscribers.fromLineSubscriber(
                reader, whole -> whole::result, StandardCharsets.UTF_8, "\n"));
      }
      return refusal(response.statusCode(), failures);
    };
  }

  private static BodySubscriber<Supplier<GenerationEnd>> refusal(
      int status, OutboundHttp.Failures failures) {
    return BodySubscribers.mapping(
        BoundedBody.whole(BodySubscribers.ofByteArray()),
        body ->
            () -> {
              throw OutboundHttp.refusalOf(status, body, failures);
            });
  }

  @Override
  public void onSubscribe(Flow.Subscription subscription) {
    this.subscription = subscription;
    subscription.request(1);
  }

  @Override
  public void onNext(String line) {
    if (failure == null && !line.isEmpty()) {
      accept(line);
    }
    subscription.request(1);
  }

  @Override
  public void onError(Throwable throwable) {
    // The client fails the whole call by itself.
  }

  @Override
  public void onComplete() {
    // result() decides, once the client has delivered every line.
  }

  private void accept(String line) {
    try {
      GenerationLine next = OutboundJson.read(line, GenerationLine.class);
      if (next.end() != null) {
        end = next.end();
      } else if (next.number() != null && next.number() == nextPiece) {
        nextPiece++;
        listener.onPiece(next.number(), next.text());
      } else {
        failure = engineFailed("piece " + next.number() + " where " + nextPiece + " was due");
      }
    } catch (IOException e) {
      failure = engineFailed("unreadable line");
    }
  }

  // A broken connection can look like a regular end of the body. Only the end line proves that the
  // answer is complete, and its count must equal the number of pieces read.
  private GenerationEnd result() {
    if (failure != null) {
      throw failure;
    }
    if (end == null) {
      throw engineFailed("the answer broke off before its end, at piece " + nextPiece);
    }
    if (end.pieces() != nextPiece) {
      throw engineFailed(
          "the end tells of " + end.pieces() + " pieces, " + nextPiece + " were read");
    }
    return end;
  }

  private static ResultException engineFailed(String detail) {
    return new ResultException(ResultCode.ENGINE_FAILED, detail);
  }
}
