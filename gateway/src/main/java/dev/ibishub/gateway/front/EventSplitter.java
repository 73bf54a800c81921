package dev.ibishub.gateway.front;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;

/**
 * Splitter of an event stream's bytes into whole events. A target may stop in the middle of an
 * event; what the caller receives ends at the end of an event, so that another target can resume
 * the stream there. Not thread-safe.
 */
final class EventSplitter {
  /**
   * Size of the longest accepted event, bytes. No model sends longer ones; the limit bounds the
   * memory that a stream takes.
   */
  static final int MAXIMUM_EVENT_BYTES = 1 << 20;

  /** Size of the longest event whose buffer is used again, bytes. */
  private static final int MAXIMUM_KEPT_BYTES = 4 << 10;

  private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.ISO_8859_1);

  /** Digits up to which every number fits a {@code long}. */
  private static final int MAXIMUM_ID_DIGITS = 18;

  private ByteArrayOutputStream pending = new ByteArrayOutputStream();
  private boolean isLineEmpty = true;
  private boolean hasContent;

  /**
   * A whole event.
   *
   * @param bytes all its bytes, with the empty line that ends it
   * @param id its numeric id; empty where it has none
   */
  @SuppressWarnings("ArrayRecordComponent") // Handed on, never compared or hashed.
  record Event(byte[] bytes, OptionalLong id) {
    /**
     * Whether it is one comment, which receivers ignore; targets send them to show that they live.
     */
    boolean isComment() {
      return bytes.length > 0 && bytes[0] == ':' && id.isEmpty() && lines() == 1;
    }

    private long lines() {
      return new String(bytes, StandardCharsets.UTF_8).strip().lines().count();
    }
  }

  /**
   * Adds bytes that arrived.
   *
   * @return the events that they complete, in order
   * @throws IllegalStateException if an event grows beyond {@link #MAXIMUM_EVENT_BYTES}
   */
  List<Event> feed(byte[] bytes) {
    List<Event> events = new ArrayList<>();
    int from = 0;
    for (int at = 0; at < bytes.length; at++) {
      byte next = bytes[at];
      if (next == '\r') {
        continue;
      }
      if (next != '\n') {
        isLineEmpty = false;
        hasContent = true;
        continue;
      }
      if (isLineEmpty && hasContent) {
        pending.write(bytes, from, at + 1 - from);
        from = at + 1;
        events.add(completeEvent());
      }
      isLineEmpty = true;
    }
    pending.write(bytes, from, bytes.length - from);
    if (pending.size() > MAXIMUM_EVENT_BYTES) {
      throw new IllegalStateException("an event of more than " + MAXIMUM_EVENT_BYTES + " bytes");
    }
    return events;
  }

  /** Returns the size of the event that is not complete, bytes. */
  int pendingBytes() {
    return pending.size();
  }

  /** Whether the bytes so far end in the middle of an event. */
  boolean isWithinEvent() {
    return hasContent;
  }

  private Event completeEvent() {
    byte[] eventBytes = pending.toByteArray();
    if (eventBytes.length > MAXIMUM_KEPT_BYTES) {
      // A buffer keeps its capacity, which nothing counts between events.
      pending = new ByteArrayOutputStream();
    } else {
      pending.reset();
    }
    hasContent = false;
    return new Event(eventBytes, id(eventBytes));
  }

  /** Returns the id in the last line that has a numeric one. */
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
