import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the time since the start, to record.txt. */
final class Record implements AutoCloseable {
  private final long startedAt = System.nanoTime();
  private final PrintStream out;

  Record(Path file) throws IOException {
    out = new PrintStream(file.toFile());
  }

  synchronized void line(String format, Object... arguments) {
    String text = arguments.length == 0 ? format : String.format(Locale.ROOT, format, arguments);
    out.printf(Locale.ROOT, "%9.3f %s%n", (System.nanoTime() - startedAt) / 1e9, text);
    out.flush();
  }

  /** Writes a line here and on standard output. */
  void say(String format, Object... arguments) {
    String text = arguments.length == 0 ? format : String.format(Locale.ROOT, format, arguments);
    line("%s", text);
    System.out.println(text);
  }

  @Override
  public void close() {
    out.close();
  }
}
