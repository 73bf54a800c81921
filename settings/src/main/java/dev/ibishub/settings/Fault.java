package dev.ibishub.settings;

import java.util.Optional;

/**
 * One thing wrong in a file, with its place.
 *
 * @param file the name of the file as given
 * @param line from 1
 * @param column from 1
 * @param path keys and indexes from the root, as in {@code workspaces[2].weight}; empty for the
 *     root
 * @param problem what was met
 * @param expected what would have been right
 * @param nearestKey the known key nearest to an unknown one
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
    String where = file + ":" + line + ":" + column + ": " + (path.isEmpty() ? "" : path + ": ");
    return where
        + problem
        + "; expected "
        + expected
        + nearestKey.map(key -> "; did you mean \"" + key + "\"?").orElse("");
  }
}
