package dev.ibishub.node;

import java.net.InetSocketAddress;

/** Parsing of the {@code IP:PORT} addresses in settings. */
final class SocketAddresses {
  private SocketAddresses() {}

  /** Parses an {@code IP:PORT}, which has been validated with the settings. */
  static InetSocketAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    return new InetSocketAddress(
        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  /** Returns the IP address of an {@code IP:PORT}. */
  static String host(String text) {
    return text.substring(0, text.lastIndexOf(':'));
  }
}
