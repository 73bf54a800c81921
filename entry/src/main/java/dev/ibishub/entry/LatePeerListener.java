package dev.ibishub.entry;

import dev.ibishub.wire.Link;
import dev.ibishub.wire.LinkListener;
import dev.ibishub.wire.generated.Frame;
import java.util.concurrent.CompletableFuture;

/**
 * Stands in for the peer links while the entry is put together: its own record needs the port,
 * which is known only once the entry listens. A link that comes before that is closed; its peer
 * tries again. Thread-safe.
 */
final class LatePeerListener implements LinkListener {
  private final CompletableFuture<LinkListener> next = new CompletableFuture<>();

  void become(LinkListener listener) {
    next.complete(listener);
  }

  @Override
  public void onOpen(Link link) {
    LinkListener listener = next.getNow(null);
    if (listener == null) {
      link.close();
      return;
    }
    listener.onOpen(link);
  }

  @Override
  public void onFrame(Link link, Frame frame) {
    next.thenAccept(listener -> listener.onFrame(link, frame));
  }

  @Override
  public void onClose(Link link) {
    next.thenAccept(listener -> listener.onClose(link));
  }
}
