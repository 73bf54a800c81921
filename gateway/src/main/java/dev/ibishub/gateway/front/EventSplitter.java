package dev.ibishub.gateway.front;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * Cuts the bytes of an event stream into whole events. A target may stop in the middle of an event;
 * what goes to the caller ends at an event's end, so that another target can go on there. Not
 * thread-safe.
 */
final class EventSplitter {
  /** A longer event is no event of a model; it would only fill memory. */
  static final int MAXIMUM_EVENT_BYTES = 1 << 20;

  private static final String ID_FIELD = "id:";

  private ByteArrayOutputStream pending = new ByteArrayOutputStream();
  private boolean lineIsEmpty = true;
  private boolean hasText;

  /**
   * A whole event.
   *
   * @param bytes all its bytes with the empty line that ends it
   * @param id its number, where it has one
   */
  @SuppressWarnings("ArrayRecordComponent") // Handed on, never compared or hashed.
  record Event(byte[] bytes, OptionalLong id) {}

  /**
   * Takes bytes in.
   *
   * @return the events that they complete, in order
   * @throws IllegalStateException when an event grows beyond {@link #MAXIMUM_EVENT_BYTES}
   */
  List<Event> take(byte[] bytes) {
    List<Event> events = new ArrayList<>();
    for (byte next : bytes) {
      pending.write(next);
      if (next == '\r') {
        continue;
      }
      if (next != '\n') {
        lineIsEmpty = false;
        hasText = true;
        continue;
      }
      if (lineIsEmpty && hasText) {
        events.add(event());
      }
      lineIsEmpty = true;
    }
    if (pending.size() > MAXIMUM_EVENT_BYTES) {
      throw new IllegalStateException("an event of more than " + MAXIMUM_EVENT_BYTES + " bytes");
    }
    return events;
  }

  /** Whether the bytes so far end within an event. */
  boolean isWithinEvent() {
    return hasText;
  }

  private Event event() {
    byte[] whole = pending.toByteArray();
    pending = new ByteArrayOutputStream();
    hasText = false;
    return new Event(whole, id(new String(whole, StandardCharsets.ISO_8859_1)));
  }

  private static OptionalLong id(String text) {
    return text.lines()
        .filter(line -> line.startsWith(ID_FIELD))
        .map(line -> line.substring(ID_FIELD.length()).strip())
        .filter(number -> number.matches("\\d{1,18}"))
        .mapToLong(Long::parseLong)
        .reduce((first, last) -> last);
  }
}
