package dev.ibishub.settings;

import java.util.Optional;

/**
 * Error in a file, with its location.
 *
 * @param file the name of the file, as the reader was given it
 * @param line the line, from 1
 * @param column the column, from 1
 * @param path the keys and indexes from the root, as in {@code workspaces[2].weight}; empty for the
 *     root
 * @param problem what is wrong
 * @param expected what would be valid
 * @param nearestKey the known key closest to an unknown one, empty if none is close
 */
public record Fault(
    String file,
    int line,
    int column,
    String path,
    String problem,
    String expected,
    Optional<String> nearestKey) {

  @Override
  public String toString() {
    String location = file + ":" + line + ":" + column + ": " + (path.isEmpty() ? "" : path + ": ");
    return location
        + problem
        + "; expected "
        + expected
        + nearestKey.map(key -> "; did you mean \"" + key + "\"?").orElse("");
  }
}
