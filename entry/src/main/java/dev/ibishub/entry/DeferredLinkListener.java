package dev.ibishub.entry;

import dev.ibishub.wire.Link;
import dev.ibishub.wire.LinkListener;
import dev.ibishub.wire.generated.Frame;
import java.util.concurrent.CompletableFuture;

/**
 * Link listener whose delegate is set after listening has begun. The entry's own member record
 * needs the port, which is known only once the entry listens, and the peer links need that record.
 * A link that opens before the delegate is set is closed; its peer connects again. Thread-safe.
 */
final class DeferredLinkListener implements LinkListener {
  private final CompletableFuture<LinkListener> delegate = new CompletableFuture<>();

  void setDelegate(LinkListener listener) {
    delegate.complete(listener);
  }

  @Override
  public void onOpen(Link link) {
    LinkListener listener = delegate.getNow(null);
    if (listener == null) {
      link.close();
      return;
    }
    listener.onOpen(link);
  }

  @Override
  public void onFrame(Link link, Frame frame) {
    delegate.thenAccept(listener -> listener.onFrame(link, frame));
  }

  @Override
  public void onClose(Link link) {
    delegate.thenAccept(listener -> listener.onClose(link));
  }
}
