package dev.ibishub.core.internal.experts;

import dev.ibishub.core.GroupCommand;
import dev.ibishub.core.GroupLeader.AddressedCommand;
import dev.ibishub.core.GroupReply;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Commands awaiting a reply, at most one for each rank, which are retransmitted until answered. Not
 * thread-safe.
 */
public final class Outbox {
  private final PendingCommand[] pendingByRank;
  private final Duration retryAfter;
  private long sequence;

  /**
   * Creates an empty outbox.
   *
   * @param ranks number of ranks
   * @param retryAfter time without a reply after which a command is retransmitted
   */
  public Outbox(int ranks, Duration retryAfter) {
    this.pendingByRank = new PendingCommand[ranks];
    this.retryAfter = retryAfter;
  }

  /**
   * Command awaiting a reply.
   *
   * @param command the command
   * @param firstSentAt when it was first sent or requeued, or null if it has not been sent
   * @param nextSendAt when it is to be sent next
   */
  public record PendingCommand(GroupCommand command, Instant firstSentAt, Instant nextSendAt) {}

  /** Returns the sequence number for the next command. */
  public long nextSequence() {
    sequence++;
    return sequence;
  }

  public boolean isFree(int rank) {
    return pendingByRank[rank] == null;
  }

  public void put(int rank, GroupCommand command) {
    putAt(rank, command, Instant.MIN);
  }

  public void putAt(int rank, GroupCommand command, Instant sendAt) {
    pendingByRank[rank] = new PendingCommand(command, null, sendAt);
  }

  /**
   * Queues a command for another attempt after the retry interval, unless another one is pending.
   */
  public void requeue(int rank, PendingCommand pending, Instant now) {
    if (pendingByRank[rank] == null) {
      pendingByRank[rank] = new PendingCommand(pending.command(), now, now.plus(retryAfter));
    }
  }

  public void clear() {
    Arrays.fill(pendingByRank, null);
  }

  /** Removes and returns the command that a reply answers; empty for a late or duplicate reply. */
  public Optional<PendingCommand> removeAnswered(GroupReply reply, Instant now) {
    PendingCommand pending = pendingByRank[reply.rank()];
    if (pending == null || pending.command().sequence() != reply.sequence()) {
      return Optional.empty();
    }
    pendingByRank[reply.rank()] = null;
    return Optional.of(
        new PendingCommand(
            pending.command(),
            Objects.requireNonNullElse(pending.firstSentAt(), now),
            pending.nextSendAt()));
  }

  /** Returns the commands that are due and schedules their retransmission. */
  public List<AddressedCommand> dueCommands(Instant now) {
    List<AddressedCommand> due = new ArrayList<>();
    for (int rank = 0; rank < pendingByRank.length; rank++) {
      PendingCommand pending = pendingByRank[rank];
      if (pending != null && !pending.nextSendAt().isAfter(now)) {
        Instant firstSentAt = Objects.requireNonNullElse(pending.firstSentAt(), now);
        pendingByRank[rank] =
            new PendingCommand(pending.command(), firstSentAt, now.plus(retryAfter));
        due.add(new AddressedCommand(rank, pending.command()));
      }
    }
    return due;
  }

  /**
   * Returns the earliest time at which a command is due, or {@link Instant#MAX} if none is pending.
   */
  public Instant earliestSendAt() {
    return Arrays.stream(pendingByRank)
        .filter(Objects::nonNull)
        .map(PendingCommand::nextSendAt)
        .min(Instant::compareTo)
        .orElse(Instant.MAX);
  }
}
