package dev.ibishub.runtime;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
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

  /** Longest wait for queued lines on close, milliseconds; the reader of the log may be stalled. */
  private static final long CLOSE_TIMEOUT_MILLIS = 1_000;

  private static final long CLOSE_POLL_NANOS = 1_000_000;

  private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(MAXIMUM_QUEUED_LINES);
  private final AtomicLong unwritten = new AtomicLong();
  private final AtomicLong dropped = new AtomicLong();
  private final OutputStream output;
  private final Thread writer = new Thread(this::write, "log-writer");

  private QueuedLineHandler(OutputStream output, Formatter formatter) {
    this.output = output;
    setFormatter(formatter);
  }

  /** Creates a handler and starts its writer thread. */
  static QueuedLineHandler start(OutputStream output, Formatter formatter) {
    QueuedLineHandler handler = new QueuedLineHandler(output, formatter);
    handler.writer.setDaemon(true);
    handler.writer.start();
    return handler;
  }

  @Override
  public void publish(LogRecord logRecord) {
    if (!isLoggable(logRecord)) {
      return;
    }
    unwritten.incrementAndGet();
    if (!queue.offer(getFormatter().format(logRecord))) {
      unwritten.decrementAndGet();
      dropped.incrementAndGet();
    }
  }

  /** Returns the number of lines dropped so far. */
  long dropped() {
    return dropped.get();
  }

  @Override
  public void flush() {}

  /**
   * Waits until the queued lines are written, for at most a second. The log manager calls this when
   * the process exits, which would otherwise lose the lines that say why.
   */
  @Override
  public void close() {
    long deadline = MonotonicClock.millis() + CLOSE_TIMEOUT_MILLIS;
    while (unwritten.get() > 0 && writer.isAlive() && MonotonicClock.millis() < deadline) {
      LockSupport.parkNanos(CLOSE_POLL_NANOS);
    }
  }

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
        unwritten.decrementAndGet();
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
