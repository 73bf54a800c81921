package dev.ibishub.core;

/**
 * One run of a process, from start to death.
 *
 * @param process the process's name, which a restart keeps
 * @param incarnation drawn anew at each start
 */
public record ProcessIncarnation(String process, long incarnation) {
  /** Checks the name. */
  public ProcessIncarnation {
    if (process.isEmpty()) {
      throw new IllegalArgumentException("process must have a name");
    }
  }
}
