package dev.ibishub.gateway.front;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
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

  private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.ISO_8859_1);

  /** Digits of a number that surely fits a long. */
  private static final int MAXIMUM_ID_DIGITS = 18;

  private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
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
    int from = 0;
    for (int at = 0; at < bytes.length; at++) {
      byte next = bytes[at];
      if (next == '\r') {
        continue;
      }
      if (next != '\n') {
        lineIsEmpty = false;
        hasText = true;
        continue;
      }
      if (lineIsEmpty && hasText) {
        pending.write(bytes, from, at + 1 - from);
        from = at + 1;
        events.add(event());
      }
      lineIsEmpty = true;
    }
    pending.write(bytes, from, bytes.length - from);
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
    pending.reset();
    hasText = false;
    return new Event(whole, id(whole));
  }

  /** Returns the number in the last line that holds one. */
  private static OptionalLong id(byte[] event) {
    OptionalLong id = OptionalLong.empty();
    int from = 0;
    for (int at = 0; at < event.length; at++) {
      if (event[at] == '\n' || event[at] == '\r') {
        OptionalLong found = idOfLine(event, from, at);
        id = found.isPresent() ? found : id;
        from = at + 1;
      }
    }
    return id;
  }

  private static OptionalLong idOfLine(byte[] event, int from, int to) {
    int valueFrom = from + ID_FIELD.length;
    if (valueFrom >= to || !Arrays.equals(event, from, valueFrom, ID_FIELD, 0, ID_FIELD.length)) {
      return OptionalLong.empty();
    }
    String value =
        new String(event, valueFrom, to - valueFrom, StandardCharsets.ISO_8859_1).strip();
    boolean isNumber =
        !value.isEmpty()
            && value.length() <= MAXIMUM_ID_DIGITS
            && value.chars().allMatch(each -> each >= '0' && each <= '9');
    return isNumber ? OptionalLong.of(Long.parseLong(value)) : OptionalLong.empty();
  }
}
