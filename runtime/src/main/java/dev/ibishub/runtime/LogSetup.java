package dev.ibishub.runtime;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Sends the log to standard error, one line an event, as key=value or as JSON. */
public final class LogSetup {
  private static volatile boolean json;

  private LogSetup() {}

  /**
   * Sets the log up for the whole process.
   *
   * @param format {@code key-value} or {@code json}
   * @param process name of this process, put on each line
   */
  public static void configure(String format, String process) {
    json = format.equals("json");
    LogManager.getLogManager().reset();
    Handler handler = new ConsoleHandler();
    handler.setFormatter(new LineFormatter(process));
    handler.setLevel(Level.ALL);
    Logger root = Logger.getLogger("");
    root.addHandler(handler);
    root.setLevel(Level.INFO);
  }

  /**
   * Sets the log up to go to standard output as JSON, without ever holding up who logs.
   *
   * @param process name of this process, put on each line
   */
  public static void configureQueued(String process) {
    json = true;
    LogManager.getLogManager().reset();
    Handler handler =
        QueuedLineHandler.start(
            new FileOutputStream(FileDescriptor.out), new LineFormatter(process));
    Logger root = Logger.getLogger("");
    root.addHandler(handler);
    root.setLevel(Level.INFO);
  }

  static boolean isJson() {
    return json;
  }

  private static final class LineFormatter extends Formatter {
    private final String process;

    LineFormatter(String process) {
      this.process = process;
    }

    @Override
    public String format(LogRecord entry) {
      Map<String, String> head = new LinkedHashMap<>();
      head.put("time", entry.getInstant().toString());
      head.put("level", entry.getLevel().getName());
      head.put("process", process);
      Map<String, String> tail = new LinkedHashMap<>();
      if (entry.getThrown() != null) {
        tail.put("trace", trace(entry.getThrown()));
      }
      String message = formatMessage(entry);
      return json ? jsonLine(head, message, tail) : keyValueLine(head, message, tail);
    }

    private static String keyValueLine(
        Map<String, String> head, String message, Map<String, String> tail) {
      String body =
          message.startsWith("event=") ? message : LogEvent.keyValues(Map.of("message", message));
      String end = tail.isEmpty() ? "" : " " + LogEvent.keyValues(tail);
      return LogEvent.keyValues(head) + " " + body + end + "\n";
    }

    private static String jsonLine(
        Map<String, String> head, String message, Map<String, String> tail) {
      String body =
          message.startsWith("{\"event\":") ? message : LogEvent.json(Map.of("message", message));
      String end = tail.isEmpty() ? "" : "," + inner(LogEvent.json(tail));
      return "{" + inner(LogEvent.json(head)) + "," + inner(body) + end + "}\n";
    }

    private static String inner(String object) {
      return object.substring(1, object.length() - 1);
    }

    private static String trace(Throwable thrown) {
      StringWriter text = new StringWriter();
      thrown.printStackTrace(new PrintWriter(text));
      return text.toString();
    }
  }
}
