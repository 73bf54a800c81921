package dev.ibishub.lockorder;

import java.util.Optional;

/**
 * A pair of locks and where it was first seen in a process.
 *
 * @param thread the name of the thread
 * @param frames the methods that were running, the innermost first
 */
record RecordedPair(LockPair locks, String thread, String frames) {
  private static final String SEPARATOR = "\t";
  private static final int FIELDS = 4;

  /** Returns the line that {@link #parse} reads. */
  String line() {
    String named = thread.replace(SEPARATOR, " ").replace("\n", " ");
    return String.join(SEPARATOR, locks.outer(), locks.inner(), named, frames) + "\n";
  }

  /** Returns the pair of a line; empty if its writer was killed while it wrote. */
  static Optional<RecordedPair> parse(String line) {
    String[] fields = line.split(SEPARATOR, -1);
    return fields.length == FIELDS
        ? Optional.of(new RecordedPair(new LockPair(fields[0], fields[1]), fields[2], fields[3]))
        : Optional.empty();
  }
}
