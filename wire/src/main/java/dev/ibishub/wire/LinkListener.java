package dev.ibishub.wire;

import dev.ibishub.wire.generated.Frame;

/**
 * Receives the events of links. The calls for one link are made in order on its I/O thread; they
 * must not block.
 */
public interface LinkListener {
  /** Called when the handshake has succeeded; frames may be sent from now on. */
  void onOpen(Link link);

  /** Called for each received frame other than those of handshake and heartbeat. */
  void onFrame(Link link, Frame frame);

  /** Called when the link has closed; no further call follows. */
  void onClose(Link link);
}
