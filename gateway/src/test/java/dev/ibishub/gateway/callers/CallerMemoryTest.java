package dev.ibishub.gateway.callers;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.gateway.callers.CallerMemory.Kind;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

final class CallerMemoryTest {
  private static final long LIMIT = 1 << 20;

  private final CallerMemory account = new CallerMemory(() -> LIMIT);
  private final List<String> closed = new ArrayList<>();

  private ConnectionMemory open(String name) {
    return account.open(() -> closed.add(name));
  }

  // Guards against many connections that fill the heap with what their callers don't read or end.
  @ParameterizedTest
  @EnumSource(names = {"RESPONSE", "ARRIVING_HEAD"})
  void connectionThatHoldsMostIsClosed(Kind kind) {
    long bound = kind == Kind.RESPONSE ? LIMIT * 3 / 8 : LIMIT / 8;
    ConnectionMemory large = open("large");
    ConnectionMemory small = open("small");
    large.hold(kind, bound - 100);
    small.hold(kind, 100);

    assertThat(closed).isEmpty();

    small.hold(kind, 1);
    small.hold(kind, 1);

    assertThat(closed).containsExactly("large");
  }

  // Guards against a connection that is closed again for memory that its close gives back anyway.
  @Test
  void nextConnectionIsClosedOnlyIfTheFirstDoesNotSuffice() {
    ConnectionMemory first = open("first");
    ConnectionMemory second = open("second");
    first.hold(Kind.RESPONSE, LIMIT / 4);
    second.hold(Kind.RESPONSE, LIMIT / 4 - 1);
    second.hold(Kind.RESPONSE, 1);

    assertThat(closed).containsExactly("first");

    first.release(Kind.RESPONSE, LIMIT / 4);
    first.onClosed();
    open("third").hold(Kind.RESPONSE, LIMIT / 4);

    assertThat(closed).hasSize(2).doesNotHaveDuplicates();
  }

  // Guards against a cascade: connections that are closed one after the other, as the memory of
  // those closed before has not been given back yet.
  @Test
  void memoryThatClosedConnectionsStillHoldClosesNoOther() {
    ConnectionMemory first = open("first");
    ConnectionMemory second = open("second");
    first.hold(Kind.RESPONSE, LIMIT * 3 / 8 + 1);
    first.onClosed();
    second.hold(Kind.RESPONSE, LIMIT * 3 / 8);

    assertThat(closed).containsExactly("first");

    first.release(Kind.RESPONSE, LIMIT * 3 / 8 + 1);
    second.hold(Kind.RESPONSE, 1);

    assertThat(closed).containsExactly("first", "second");
  }

  // Guards against connections that become ready in one turn of an event loop, which fill the heap
  // as it frees what those closed before had buffered only after that turn.
  @Test
  void buffersOfClosedConnectionAreDroppedOnce() {
    List<String> dropped = new ArrayList<>();
    List<ConnectionMemory> opened = new ArrayList<>();
    ConnectionMemory connection = account.open(() -> opened.get(0).dropBuffers());
    opened.add(connection);
    Runnable removed = () -> dropped.add("removed");
    connection.addBuffer(() -> dropped.add("buffer"));
    connection.addBuffer(removed);
    connection.removeBuffer(removed);

    connection.hold(Kind.RESPONSE, LIMIT);
    connection.hold(Kind.RESPONSE, LIMIT);

    assertThat(dropped).containsExactly("buffer");
  }

  // Guards against large requests, and requests sent ahead, that keep out all others.
  @Test
  void roomIsLeftToSmallRequestsThatCanRun() {
    ConnectionMemory connection = open("a");
    assertThat(connection.tryReserve(Kind.BODY, LIMIT * 3 / 4, LIMIT * 3 / 4)).isTrue();

    assertThat(connection.tryReserve(Kind.BODY, 1, LIMIT * 3 / 4 + 1)).isFalse();
    assertThat(connection.tryReserveWaiting(Kind.HEAD, 1)).isFalse();
    assertThat(connection.tryReserve(Kind.HEAD, LIMIT / 4, 1_000)).isTrue();
    assertThat(connection.tryReserve(Kind.HEAD, 1, 1_000)).isFalse();
    assertThat(closed).isEmpty();
  }

  // Guards against buffered responses that leave no room to responses that are passed on.
  @Test
  void responsesAreBufferedOnlyUpToHalfOfTheirMemory() {
    ConnectionMemory connection = open("a");

    assertThat(connection.tryBuffer(LIMIT * 3 / 16)).isTrue();
    assertThat(connection.tryBuffer(1)).isFalse();
  }

  // Guards against memory that is counted twice or never given back.
  @Test
  void accountIsTheSumOfItsConnectionsAndEndsAtZero() {
    Random random = new Random(1);
    List<ConnectionMemory> connections =
        IntStream.range(0, 20).mapToObj(number -> open("c" + number)).toList();
    long[] held = new long[connections.size()];
    Stream.generate(() -> random.nextInt(held.length))
        .limit(10_000)
        .forEach(
            number -> {
              long bytes = random.nextInt(10_000);
              connections.get(number).hold(Kind.RESPONSE, bytes);
              held[number] += bytes;
              if (random.nextInt(3) == 0 || closed.contains("c" + number)) {
                connections.get(number).release(Kind.RESPONSE, held[number]);
                held[number] = 0;
              }
              assertThat(account.bytes(Kind.RESPONSE)).isEqualTo(Arrays.stream(held).sum());
            });
    IntStream.range(0, held.length)
        .forEach(number -> connections.get(number).release(Kind.RESPONSE, held[number]));

    assertThat(account.bytes(Kind.RESPONSE)).isZero();
  }
}
