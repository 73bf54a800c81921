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

/** Configures logging for the process: one line per event, as key=value pairs or as JSON. */
public final class LogSetup {
  private static volatile boolean json;

  private LogSetup() {}

  /**
   * Sends the log of the whole process to standard error. Writing blocks the logging thread.
   *
   * @param format {@code json}; any other value means {@code key-value}
   * @param process name of this process, written on each line
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
   * Sends the log of the whole process to standard output as JSON through a bounded queue, so that
   * logging never blocks. Lines that do not fit in the queue are dropped.
   *
   * @param process name of this process, written on each line
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
    public String format(LogRecord logRecord) {
      Map<String, String> leading = new LinkedHashMap<>();
      leading.put("time", logRecord.getInstant().toString());
      leading.put("level", logRecord.getLevel().getName());
      leading.put("process", process);
      Map<String, String> trailing = new LinkedHashMap<>();
      if (logRecord.getThrown() != null) {
        trailing.put("trace", stackTrace(logRecord.getThrown()));
      }
      String message = formatMessage(logRecord);
      return json ? jsonLine(leading, message, trailing) : keyValueLine(leading, message, trailing);
    }

    private static String keyValueLine(
        Map<String, String> leading, String message, Map<String, String> trailing) {
      String body =
          message.startsWith("event=") ? message : LogEvent.keyValues(Map.of("message", message));
      String suffix = trailing.isEmpty() ? "" : " " + LogEvent.keyValues(trailing);
      return LogEvent.keyValues(leading) + " " + body + suffix + "\n";
    }

    private static String jsonLine(
        Map<String, String> leading, String message, Map<String, String> trailing) {
      String body =
          message.startsWith("{\"event\":") ? message : LogEvent.json(Map.of("message", message));
      String suffix = trailing.isEmpty() ? "" : "," + withoutBraces(LogEvent.json(trailing));
      return "{"
          + withoutBraces(LogEvent.json(leading))
          + ","
          + withoutBraces(body)
          + suffix
          + "}\n";
    }

    private static String withoutBraces(String object) {
      return object.substring(1, object.length() - 1);
    }

    private static String stackTrace(Throwable thrown) {
      StringWriter text = new StringWriter();
      thrown.printStackTrace(new PrintWriter(text));
      return text.toString();
    }
  }
}
