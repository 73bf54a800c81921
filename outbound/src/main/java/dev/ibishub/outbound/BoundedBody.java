package dev.ibishub.outbound;

import java.io.IOException;
import java.net.http.HttpResponse.BodyHandler;
import java.net.http.HttpResponse.BodyHandlers;
import java.net.http.HttpResponse.BodySubscriber;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;

/**
 * Bounds on the body of a response. Beyond the bound the connection is closed, and the body fails
 * with an {@link IOException}. As thread-safe as the subscriber that it passes the body on to.
 *
 * <pre>{@code
 * http.send(request, BoundedBody.bytes(), failures);
 * }</pre>
 */
public final class BoundedBody {
  /** Maximum size of a body that is read whole, bytes. */
  public static final int MAXIMUM_BYTES = 16 << 20;

  /** Maximum size of one line of a body that is read by lines, bytes. */
  public static final int MAXIMUM_LINE_BYTES = 1 << 20;

  private BoundedBody() {}

  /** Returns a handler that reads a body of at most {@link #MAXIMUM_BYTES}. */
  public static BodyHandler<byte[]> bytes() {
    return response -> whole(BodyHandlers.ofByteArray().apply(response));
  }

  /** Returns a subscriber that passes on a body of at most {@link #MAXIMUM_BYTES}. */
  public static <T> BodySubscriber<T> whole(BodySubscriber<T> reader) {
    return new Bounded<>(reader, MAXIMUM_BYTES, false);
  }

  /**
   * Returns a subscriber that passes on a body of any size, but with lines of at most {@link
   * #MAXIMUM_LINE_BYTES}.
   */
  public static <T> BodySubscriber<T> lines(BodySubscriber<T> reader) {
    return new Bounded<>(reader, MAXIMUM_LINE_BYTES, true);
  }

  private static final class Bounded<T> implements BodySubscriber<T> {
    private final BodySubscriber<T> reader;
    private final int maximumBytes;
    private final boolean countsLines;
    private Flow.Subscription subscription;
    private long countedBytes;
    private boolean isOver;

    Bounded(BodySubscriber<T> reader, int maximumBytes, boolean countsLines) {
      this.reader = reader;
      this.maximumBytes = maximumBytes;
      this.countsLines = countsLines;
    }

    @Override
    public CompletionStage<T> getBody() {
      return reader.getBody();
    }

    @Override
    public void onSubscribe(Flow.Subscription newSubscription) {
      subscription = newSubscription;
      reader.onSubscribe(newSubscription);
    }

    @Override
    public void onNext(List<ByteBuffer> buffers) {
      if (isOver) {
        return;
      }
      buffers.forEach(this::count);
      if (countedBytes <= maximumBytes) {
        reader.onNext(buffers);
        return;
      }
      isOver = true;
      subscription.cancel();
      reader.onError(
          new IOException(
              "%s of a body is longer than %d bytes"
                  .formatted(countsLines ? "a line" : "the whole", maximumBytes)));
    }

    private void count(ByteBuffer buffer) {
      int lineEnd = countsLines ? lastLineEnd(buffer) : -1;
      countedBytes =
          lineEnd < 0 ? countedBytes + buffer.remaining() : buffer.limit() - lineEnd - 1L;
    }

    private static int lastLineEnd(ByteBuffer buffer) {
      int at = buffer.limit() - 1;
      while (at >= buffer.position() && buffer.get(at) != '\n') {
        at--;
      }
      return at < buffer.position() ? -1 : at;
    }

    @Override
    public void onError(Throwable failure) {
      if (!isOver) {
        reader.onError(failure);
      }
    }

    @Override
    public void onComplete() {
      if (!isOver) {
        reader.onComplete();
      }
    }
  }
}
