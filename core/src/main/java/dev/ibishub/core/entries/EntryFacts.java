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

  // Written out, as a record's own methods are linked at their first call, which takes a process
  // that starts longer than all else that it does with heartbeats.

  @Override
  public boolean equals(Object other) {
    return other instanceof EntryFacts facts
        && host.equals(facts.host)
        && callerAddress.equals(facts.callerAddress)
        && startedAt == facts.startedAt
        && isReady == facts.isReady
        && isLeaving == facts.isLeaving;
  }

  @Override
  public int hashCode() {
    return host.hashCode();
  }
}
