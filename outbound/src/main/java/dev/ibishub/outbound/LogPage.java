package dev.ibishub.outbound;

import java.util.List;

/**
 * Records read from a stream, in offset order.
 *
 * @param firstKept the lowest offset whose record has not expired
 * @param nextOffset the offset that the next append will get; a reader that has reached it has read
 *     the whole stream
 * @param records the records read; may be empty
 */
public record LogPage(long firstKept, long nextOffset, List<LogRecord> records) {
  public LogPage {
    records = List.copyOf(records);
  }
}
