package dev.ibishub.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class EventSplitterTest {
  private static final String STREAM = "id: 1\ndata: one\n\nid: 2\r\ndata: two\r\n\r\n";

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  @Test
  void splitsEventsWhoseBytesArriveOneByOne() {
    EventSplitter splitter = new EventSplitter();
    List<EventSplitter.Event> events = new ArrayList<>();
    for (byte each : bytes(STREAM)) {
      events.addAll(splitter.feed(new byte[] {each}));
    }

    assertThat(events).extracting(event -> event.id().orElseThrow()).containsExactly(1L, 2L);
    assertThat(events.get(0).bytes()).isEqualTo(bytes("id: 1\ndata: one\n\n"));
    assertThat(events.get(1).bytes()).isEqualTo(bytes("id: 2\r\ndata: two\r\n\r\n"));
  }

  // Guards against a caller that receives part of an event twice. When a target stops in the middle
  // of an event, another one resumes after the last whole event; the part had already been passed
  // on.
  @Test
  void holdsBackIncompleteEvent() {
    EventSplitter splitter = new EventSplitter();

    assertThat(splitter.feed(bytes("id: 1\ndata: on"))).isEmpty();
    assertThat(splitter.isWithinEvent()).isTrue();
  }

  @Test
  void leavesIdEmptyForEventWithoutId() {
    EventSplitter splitter = new EventSplitter();

    assertThat(splitter.feed(bytes("data: x\n\n")).get(0).id()).isEmpty();
  }

  @Test
  void usesLastNumericIdOfEvent() {
    EventSplitter splitter = new EventSplitter();

    assertThat(splitter.feed(bytes("id: 1\rid:  2 \r\nid: x\nid: \ndata: y\n\n")).get(0).id())
        .hasValue(2);
  }

  @Test
  void ignoresIdOfMoreThanEighteenDigits() {
    EventSplitter splitter = new EventSplitter();

    assertThat(splitter.feed(bytes("id: 1234567890123456789\n\n")).get(0).id()).isEmpty();
  }
}
