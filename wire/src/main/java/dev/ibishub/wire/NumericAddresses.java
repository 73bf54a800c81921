package dev.ibishub.wire;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Converts addresses that are written with an IP number. Names are never looked up, as a lookup
 * blocks the calling thread, which may be an event loop, until the resolver responds.
 *
 * <pre>{@code
 * InetSocketAddress address = NumericAddresses.parse("10.1.0.4:8080");
 * }</pre>
 */
public final class NumericAddresses {
  private static final Pattern ADDRESS_AND_PORT =
      Pattern.compile(
          "(?:\\[(?<six>[0-9A-Fa-f]*:[0-9A-Fa-f:.]+)]|(?<four>[0-9.]+)):(?<port>[1-9][0-9]{0,4})");

  private static final String BROADCAST = "255.255.255.255";
  private static final int HIGHEST_PORT = 65_535;

  private NumericAddresses() {}

  /**
   * Parses {@code IP:PORT}, with an IPv6 address in brackets.
   *
   * @return a resolved address
   * @throws IllegalArgumentException if the text is anything else, or no peer can listen there; see
   *     {@link #of}
   */
  public static InetSocketAddress parse(String text) {
    Matcher parts = ADDRESS_AND_PORT.matcher(text);
    if (!parts.matches()) {
      throw new IllegalArgumentException("expected IP:PORT, found " + text);
    }
    String host = parts.group("six") == null ? parts.group("four") : parts.group("six");
    return of(host, Integer.parseInt(parts.group("port")));
  }

  /**
   * Converts an IP number and a port.
   *
   * @param host an IPv4 address of four decimal numbers without leading zeros, or an IPv6 address
   *     without brackets and zone
   * @param port a port from 1 to 65535
   * @return a resolved address
   * @throws IllegalArgumentException if the host or the port is anything else, or the host is the
   *     unspecified address, a multicast address or the broadcast address
   */
  public static InetSocketAddress of(String host, int port) {
    if (port < 1 || port > HIGHEST_PORT) {
      throw new IllegalArgumentException("expected a port from 1 to 65535, found " + port);
    }
    return new InetSocketAddress(host(host), port);
  }

  /** Whether a text is an IP number as {@link #of} takes it. */
  public static boolean isHost(String text) {
    try {
      host(text);
      return true;
    } catch (IllegalArgumentException e) {
      return false;
    }
  }

  private static InetAddress host(String text) {
    InetAddress address = NetUtil.createInetAddressFromIpAddressString(text);
    if (address == null || !isUnambiguous(text, address)) {
      throw new IllegalArgumentException("expected an IP number, found " + text);
    }
    if (address.isAnyLocalAddress() || address.isMulticastAddress() || text.equals(BROADCAST)) {
      throw new IllegalArgumentException("expected the IP number of one VM, found " + text);
    }
    return address;
  }

  /** Whether no other reader takes the text for another address: some read 010 as 8. */
  private static boolean isUnambiguous(String host, InetAddress address) {
    boolean isIpv6 = host.indexOf(':') >= 0;
    return isIpv6 ? host.indexOf('%') < 0 : NetUtil.toAddressString(address).equals(host);
  }
}
