package dev.ibishub.gateway.front;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;

/** Accepts the attempts of an entry, for tests that play a target with raw sockets. */
final class RawTarget {
  private RawTarget() {}

  /** Accepts the next attempt and reads its head; the entry also connects only to probe. */
  static Socket accept(ServerSocket at) throws IOException {
    Socket accepted = at.accept();
    accepted.setSoTimeout(TestEntry.TIMEOUT_MILLIS);
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = accepted.getInputStream().read();
      if (next < 0) {
        accepted.close();
        return accept(at);
      }
      head.append((char) next);
    }
    return accepted;
  }
}
