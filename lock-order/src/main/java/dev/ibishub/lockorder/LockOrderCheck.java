package dev.ibishub.lockorder;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Reads what the processes of a test run recorded, and fails if locks were taken in a cycle. The
 * pairs of all processes count together: a cycle need not have been in one of them.
 */
public final class LockOrderCheck {
  private LockOrderCheck() {}

  /**
   * Prints the cycles; exits with 1 if there is one, and with 2 if nothing was recorded.
   *
   * @param arguments the folder with the records
   */
  public static void main(String[] arguments) throws IOException {
    Map<LockPair, RecordedPair> pairs = read(Path.of(arguments[0]));
    List<List<LockPair>> cycles = new LockCycles(pairs.keySet()).find();
    cycles.forEach(cycle -> print(cycle, pairs));
    System.out.println(
        "lock order: " + pairs.size() + " pairs of locks, " + cycles.size() + " cycles");
    if (pairs.isEmpty()) {
      System.exit(2);
    }
    System.exit(cycles.isEmpty() ? 0 : 1);
  }

  /** Returns each recorded pair with one place where it was seen. */
  static Map<LockPair, RecordedPair> read(Path folder) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files
          .flatMap(LockOrderCheck::lines)
          .map(RecordedPair::parse)
          .flatMap(Optional::stream)
          .collect(Collectors.toMap(RecordedPair::locks, recorded -> recorded, (one, two) -> one));
    }
  }

  private static Stream<String> lines(Path file) {
    try {
      return Files.readAllLines(file).stream();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static void print(List<LockPair> cycle, Map<LockPair, RecordedPair> pairs) {
    System.out.println("lock order: a cycle of " + cycle.size());
    cycle.stream()
        .map(pairs::get)
        .forEach(
            recorded ->
                System.out.println(
                    "  %s, then %s, on %s at %s"
                        .formatted(
                            recorded.locks().outer(),
                            recorded.locks().inner(),
                            recorded.thread(),
                            recorded.frames())));
  }
}
