package dev.ibishub.gateway.callers;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.gateway.callers.ConnectionBound.Admission;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class ConnectionBoundTest {
  private final ConnectionBound<String> bound = new ConnectionBound<>(() -> 2);

  @BeforeEach
  void fill() {
    bound.admit("first");
    bound.admit("second");
  }

  // Guards against idle connections that keep out callers with requests.
  @Test
  void connectionThatIsIdleForLongestMakesRoom() {
    bound.onBusy("first");
    bound.onIdle("first");

    assertThat(bound.admit("third")).isEqualTo(new Admission<>(true, Optional.of("second")));
    assertThat(bound.admit("fourth")).isEqualTo(new Admission<>(true, Optional.of("first")));
    assertThat(bound.size()).isEqualTo(2);
  }

  // Guards against requests at work that are broken off for new connections.
  @Test
  void newConnectionIsRefusedWhileAllHaveRequests() {
    bound.onBusy("first");
    bound.onBusy("second");

    assertThat(bound.admit("third")).isEqualTo(new Admission<>(false, Optional.empty()));

    bound.onClosed("third");
    bound.onClosed("first");

    assertThat(bound.admit("fourth")).isEqualTo(new Admission<>(true, Optional.empty()));
  }

  // Guards against a connection that counts twice as it closes after it has made room.
  @Test
  void connectionThatMadeRoomCountsNoMore() {
    bound.admit("third");
    bound.onBusy("first");
    bound.onIdle("first");
    bound.onClosed("first");

    assertThat(bound.size()).isEqualTo(2);
  }
}
