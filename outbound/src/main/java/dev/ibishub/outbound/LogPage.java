package dev.ibishub.outbound;

import java.util.List;

/**
 * Records read from a stream, in offset order.
 *
 * @param firstKept the lowest offset that retention has left
 * @param nextOffset the offset that the next append will get; reading is complete when it is
 *     reached
 * @param records the records read
 */
public record LogPage(long firstKept, long nextOffset, List<LogRecord> records) {
  public LogPage {
    records = List.copyOf(records);
  }
}
