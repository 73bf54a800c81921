package dev.ibishub.core.entries;

import java.util.Objects;

/**
 * What an entry announces about itself to other entries.
 *
 * @param host its IP address
 * @param callerAddress the host and port where it accepts requests of callers
 * @param startedAt when it started, milliseconds of its own wall clock; orders the entries and
 *     tells which of them started lately
 * @param isReady whether callers may be sent there
 * @param isLeaving whether it is about to stop, though it still answers
 */
public record EntryFacts(
    String host, String callerAddress, long startedAt, boolean isReady, boolean isLeaving) {
  /** Checks that host and address are given. */
  public EntryFacts {
    Objects.requireNonNull(host);
    Objects.requireNonNull(callerAddress);
  }

  // Written out because a record's generated methods are linked at their first call, which takes a
  // starting process longer than all its other work on heartbeats.

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
