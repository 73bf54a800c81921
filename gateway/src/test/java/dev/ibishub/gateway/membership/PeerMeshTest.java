package dev.ibishub.gateway.membership;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.runtime.MonotonicClock;
import dev.ibishub.wire.Identity;
import dev.ibishub.wire.WireTransport;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class PeerMeshTest {
  private static final String OWN = "127.0.2.2";
  private static final String OTHER = "127.0.2.1";
  private static final long STEP = 100;

  private final WireTransport transport =
      WireTransport.create(new Identity("entry-2", "entry", "z", 1), Optional.empty());
  private final PeerMesh mesh = mesh("entry-2", OWN, transport, freePort());
  private long now = MonotonicClock.millis();

  private static PeerMesh mesh(String name, String host, WireTransport transport, int port) {
    return new PeerMesh(
        new PeerMesh.Self(name, host, port, host + ":1", 1, () -> true, () -> false),
        transport,
        List::of,
        new PeerMesh.Listener(progress -> false, loads -> {}));
  }

  private static int freePort() {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName(OTHER))) {
      return free.getLocalPort();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  @AfterEach
  void stop() {
    transport.close();
  }

  private void passes(long millis) {
    for (long end = now + millis; now < end; now += STEP) {
      mesh.tick(now);
    }
    mesh.tick(now);
  }

  @Test
  void entryThatKnowsNoOtherLeadsAfterItHasListened() {
    passes(PeerMesh.SETTLING_MILLIS - 2 * STEP);
    assertThat(mesh.leads(now)).isFalse();

    passes(3 * STEP);
    assertThat(mesh.leads(now)).isTrue();
  }

  // Maps stand still for seconds after a loss of power. All entries started at once on slow VMs;
  // five of them had heard nobody within 0.8 s, took the lead, and refused each other's orders.
  @Test
  void entryWaitsForAFirstLinkThatIsComingAbout() throws IOException {
    int port = freePort();
    PeerMesh waiting = mesh("entry-2", OWN, transport, port);
    try (ServerSocket slow = new ServerSocket()) {
      slow.bind(new InetSocketAddress(OTHER, port));
      waiting.addHosts(List.of(OTHER), now);
      long start = now;
      for (; now <= start + PeerMesh.SETTLING_MILLIS + STEP; now += STEP) {
        waiting.tick(now);
      }
      assertThat(waiting.leads(now)).isFalse();

      for (; now <= start + PeerMesh.SETTLING_MILLIS + PeerMesh.LONGER_SETTLING_MILLIS; ) {
        now += STEP;
        waiting.tick(now);
      }
      assertThat(waiting.leads(now)).isTrue();
    }
  }

  @Test
  void entryThatStoodStillListensAnew() {
    passes(PeerMesh.SETTLING_MILLIS + STEP);
    now += 5_000;
    mesh.tick(now);

    assertThat(mesh.leads(now)).isFalse();
  }
}
