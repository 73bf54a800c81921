package dev.ibishub.runtime;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/**
 * Writes log lines from a thread of its own. A reader of the log that is slow or stands still fills
 * the queue; further lines are then dropped and counted, and no request waits for it. Thread-safe.
 */
final class QueuedLineHandler extends Handler {
  /** Lines that may wait; some 400 KB. */
  static final int MOST_WAITING = 2_048;

  private final BlockingQueue<String> waiting = new ArrayBlockingQueue<>(MOST_WAITING);
  private final AtomicLong dropped = new AtomicLong();
  private final OutputStream output;

  private QueuedLineHandler(OutputStream output, Formatter formatter) {
    this.output = output;
    setFormatter(formatter);
  }

  /** Creates a handler and starts its thread. */
  static QueuedLineHandler start(OutputStream output, Formatter formatter) {
    QueuedLineHandler handler = new QueuedLineHandler(output, formatter);
    Thread writer = new Thread(handler::write, "log-writer");
    writer.setDaemon(true);
    writer.start();
    return handler;
  }

  @Override
  public void publish(LogRecord entry) {
    if (isLoggable(entry) && !waiting.offer(getFormatter().format(entry))) {
      dropped.incrementAndGet();
    }
  }

  /** Returns how many lines were dropped so far. */
  long dropped() {
    return dropped.get();
  }

  @Override
  public void flush() {}

  @Override
  public void close() {}

  private void write() {
    long reported = 0;
    try {
      while (true) {
        output.write(waiting.take().getBytes(StandardCharsets.UTF_8));
        long lost = dropped.get();
        if (lost > reported) {
          String line = LogEvent.of("log.dropped").with("lines", lost - reported) + "\n";
          output.write(line.getBytes(StandardCharsets.UTF_8));
          reported = lost;
        }
        if (waiting.isEmpty()) {
          output.flush();
        }
      }
    } catch (IOException e) {
      // Nobody reads the log any more; there is no other place to say so. Lines are still counted.
      waiting.clear();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
