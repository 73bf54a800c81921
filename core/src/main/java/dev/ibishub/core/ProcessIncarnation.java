package dev.ibishub.core;

/**
 * One run of a process, from its start to its end.
 *
 * @param process the process's name, which stays the same across restarts
 * @param incarnation a new number for each start
 */
public record ProcessIncarnation(String process, long incarnation) {
  /** Checks that the name is not empty. */
  public ProcessIncarnation {
    if (process.isEmpty()) {
      throw new IllegalArgumentException("process must have a name");
    }
  }
}
