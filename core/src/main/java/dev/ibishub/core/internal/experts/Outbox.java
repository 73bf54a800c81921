package dev.ibishub.core.internal.experts;

import dev.ibishub.core.GroupCommand;
import dev.ibishub.core.GroupLeader.Addressed;
import dev.ibishub.core.GroupReply;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/** At most one unanswered command a rank, repeated until it is answered. Not thread-safe. */
public final class Outbox {
  private final Sent[] unanswered;
  private final Duration retryAfter;
  private long sequence;

  /**
   * Creates an empty outbox.
   *
   * @param ranks how many ranks there are
   * @param retryAfter when a command goes out again
   */
  public Outbox(int ranks, Duration retryAfter) {
    this.unanswered = new Sent[ranks];
    this.retryAfter = retryAfter;
  }

  /**
   * A command on its way.
   *
   * @param command the command
   * @param firstSentAt when it went out first, or null
   * @param repeatAt when it goes out next
   */
  public record Sent(GroupCommand command, Instant firstSentAt, Instant repeatAt) {}

  /** Numbers the next command. */
  public long nextSequence() {
    sequence++;
    return sequence;
  }

  public boolean isFree(int rank) {
    return unanswered[rank] == null;
  }

  public void put(int rank, GroupCommand command) {
    putAt(rank, command, Instant.MIN);
  }

  public void putAt(int rank, GroupCommand command, Instant sendAt) {
    unanswered[rank] = new Sent(command, null, sendAt);
  }

  /** Keeps a command that must go out again, no sooner than the usual wait. */
  public void putBack(int rank, Sent sent, Instant now) {
    if (unanswered[rank] == null) {
      unanswered[rank] = new Sent(sent.command(), now, now.plus(retryAfter));
    }
  }

  public void clear() {
    Arrays.fill(unanswered, null);
  }

  /** Takes out the command that a reply answers; empty for a late or repeated reply. */
  public Optional<Sent> take(GroupReply reply, Instant now) {
    Sent sent = unanswered[reply.rank()];
    if (sent == null || sent.command().sequence() != reply.sequence()) {
      return Optional.empty();
    }
    unanswered[reply.rank()] = null;
    return Optional.of(
        new Sent(
            sent.command(), Objects.requireNonNullElse(sent.firstSentAt(), now), sent.repeatAt()));
  }

  /** Gives the commands due and sets when they go out again. */
  public List<Addressed> due(Instant now) {
    List<Addressed> due = new ArrayList<>();
    for (int rank = 0; rank < unanswered.length; rank++) {
      Sent sent = unanswered[rank];
      if (sent != null && !sent.repeatAt().isAfter(now)) {
        Instant first = Objects.requireNonNullElse(sent.firstSentAt(), now);
        unanswered[rank] = new Sent(sent.command(), first, now.plus(retryAfter));
        due.add(new Addressed(rank, sent.command()));
      }
    }
    return due;
  }

  /** Returns when a command goes out next, or {@link Instant#MAX}. */
  public Instant nextRepeatAt() {
    return Arrays.stream(unanswered)
        .filter(Objects::nonNull)
        .map(Sent::repeatAt)
        .min(Instant::compareTo)
        .orElse(Instant.MAX);
  }
}
