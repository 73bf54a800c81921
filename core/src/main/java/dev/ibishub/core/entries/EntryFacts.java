package dev.ibishub.core.entries;

import java.util.Objects;

/**
 * What an entry says of itself.
 *
 * @param host its IP number
 * @param callerAddress where it takes callers' requests, host and port
 * @param startedAt when it started, milliseconds of its own time of day; only orders entries
 * @param isReady whether callers may be sent there
 * @param isLeaving whether it still answers but is about to stop
 */
public record EntryFacts(
    String host, String callerAddress, long startedAt, boolean isReady, boolean isLeaving) {
  /** Checks that host and address are there. */
  public EntryFacts {
    Objects.requireNonNull(host);
    Objects.requireNonNull(callerAddress);
  }
}
