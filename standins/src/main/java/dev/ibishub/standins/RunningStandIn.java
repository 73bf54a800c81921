package dev.ibishub.standins;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * A stand-in whose servers are listening.
 *
 * @param servers one server per port
 * @param onClose stops what runs behind the servers
 */
record RunningStandIn(List<StandInServer> servers, Runnable onClose) implements AutoCloseable {
  RunningStandIn {
    servers = List.copyOf(servers);
  }

  InetSocketAddress address(int rank) {
    return servers.get(rank).address();
  }

  @Override
  public void close() {
    servers.forEach(StandInServer::close);
    onClose.run();
  }
}
