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
 * Writes log lines asynchronously from a bounded queue, on a thread of its own. When the reader of
 * the log is slow or stalled and the queue is full, further lines are dropped and counted, so that
 * logging never blocks a request. Thread-safe.
 */
final class QueuedLineHandler extends Handler {
  /** Capacity of the queue, in lines; about 400 KB. */
  static final int MAXIMUM_QUEUED_LINES = 2_048;

  private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(MAXIMUM_QUEUED_LINES);
  private final AtomicLong dropped = new AtomicLong();
  private final OutputStream output;

  private QueuedLineHandler(OutputStream output, Formatter formatter) {
    this.output = output;
    setFormatter(formatter);
  }

  /** Creates a handler and starts its writer thread. */
  static QueuedLineHandler start(OutputStream output, Formatter formatter) {
    QueuedLineHandler handler = new QueuedLineHandler(output, formatter);
    Thread writer = new Thread(handler::write, "log-writer");
    writer.setDaemon(true);
    writer.start();
    return handler;
  }

  @Override
  public void publish(LogRecord logRecord) {
    if (isLoggable(logRecord) && !queue.offer(getFormatter().format(logRecord))) {
      dropped.incrementAndGet();
    }
  }

  /** Returns the number of lines dropped so far. */
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
        output.write(queue.take().getBytes(StandardCharsets.UTF_8));
        long droppedSoFar = dropped.get();
        if (droppedSoFar > reported) {
          String line = LogEvent.of("log.dropped").with("lines", droppedSoFar - reported) + "\n";
          output.write(line.getBytes(StandardCharsets.UTF_8));
          reported = droppedSoFar;
        }
        if (queue.isEmpty()) {
          output.flush();
        }
      }
    } catch (IOException e) {
      // The output is closed and there is nowhere else to report it. The writer ends; once the
      // queue is full again, further lines are only counted as dropped.
      queue.clear();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
