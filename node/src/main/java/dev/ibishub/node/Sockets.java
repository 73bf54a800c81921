package dev.ibishub.node;

import java.net.InetSocketAddress;

/** Addresses in settings. */
final class Sockets {
  private Sockets() {}

  /** Reads {@code IP:PORT}, which the settings have checked. */
  static InetSocketAddress address(String text) {
    int colon = text.lastIndexOf(':');
    return new InetSocketAddress(
        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  static String host(String text) {
    return text.substring(0, text.lastIndexOf(':'));
  }
}
