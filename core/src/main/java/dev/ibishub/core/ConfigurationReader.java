package dev.ibishub.core;

import dev.ibishub.core.ConfigurationEvent.Result;
import dev.ibishub.core.internal.configuration.EventHistory;
import dev.ibishub.core.internal.configuration.PastStates;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/**
 * Applies the log's stream {@code configuration} in offset order. Every reader that has read up to
 * an offset has reached the same verdict on each record before it, whatever its release: a change
 * takes hold if and only if it is based on the revision in force and results in the state whose
 * hash it names. Whether a text makes sense is judged before it is appended, never here.
 *
 * <p>The revision only grows. Not thread-safe; the caller locks.
 *
 * <p>Example:
 *
 * <pre>{@code
 * reader.skipTo(page.firstKept());
 * page.records().forEach(record -> reader.apply(record.offset(), decode(record)));
 * }</pre>
 */
public final class ConfigurationReader {
  private final Options options;
  private final EventHistory events;
  private final PastStates pastStates;
  private ConfigurationState state = ConfigurationState.initial();
  private long nextOffset;
  private long stateOffset;
  private boolean anchored = true;
  private boolean known;
  private long divergences;
  private Instant keptSince = Instant.EPOCH;

  /**
   * Bounds of what a reader remembers.
   *
   * @param maximumEvents events kept for history and audit trail
   * @param eventsPerSnapshot events that a snapshot carries
   * @param maximumRevisions past revisions kept
   * @param maximumCharacters characters of past texts kept
   */
  public record Options(
      int maximumEvents, int eventsPerSnapshot, int maximumRevisions, long maximumCharacters) {
    /** Returns bounds that suit an entry. */
    public static Options defaults() {
      return new Options(1_000, 64, 64, 4_000_000);
    }
  }

  /**
   * What a reader knows, in short.
   *
   * @param revision the revision in force
   * @param hash its hash
   * @param stateOffset offset of the first record that the state does not know
   */
  public record Digest(long revision, String hash, long stateOffset) {
    /** Tells whether whoever sent the other digest knows something that this one does not. */
    public boolean isBehind(Digest other) {
      return stateOffset < other.stateOffset || revision < other.revision;
    }
  }

  private ConfigurationReader(Options options) {
    this.options = options;
    this.events = new EventHistory(options.maximumEvents());
    this.pastStates = new PastStates(options.maximumRevisions(), options.maximumCharacters());
    pastStates.add(state, state.base().length());
  }

  /** Returns a reader that has read nothing. */
  public static ConfigurationReader create(Options options) {
    return new ConfigurationReader(options);
  }

  /**
   * Tells where the log begins now. Guards against retention: a reader from whom records were taken
   * cannot know whether they were accepted, so applying what follows to its old state would accept
   * changes that all others hold void. It shows as revisions that differ between processes. From
   * here on the reader waits for a snapshot or for a peer's, and its state stays as it was.
   *
   * @param firstKept the lowest offset that the log still has
   */
  public void skipTo(long firstKept) {
    if (firstKept > nextOffset) {
      nextOffset = firstKept;
      anchored = false;
    }
  }

  /**
   * Applies the record at {@link #nextOffset}; others are ignored, as they were applied before.
   *
   * @param offset the record's offset
   * @param appendedAt when the log took it
   * @param record the record, or empty for bytes that are none, which every release skips
   */
  public void apply(long offset, Instant appendedAt, Optional<ConfigurationRecord> record) {
    if (offset != nextOffset) {
      return;
    }
    nextOffset++;
    if (offset == 0) {
      keptSince = appendedAt;
    }
    record.ifPresent(
        present -> {
          if (present instanceof ConfigurationChange change) {
            applyChange(offset, change);
          } else if (present instanceof ConfigurationSnapshot snapshot) {
            applySnapshot(offset, appendedAt, snapshot);
          }
        });
    if (anchored) {
      stateOffset = nextOffset;
    }
  }

  /**
   * Tells that the log has nothing more for now. A reader that has come so far knows the
   * configuration, also when none was ever published.
   */
  public void reachedEnd() {
    known |= anchored;
  }

  /**
   * Takes the state of another process, if that is ahead. A state that is behind changes nothing,
   * so a late or repeated one does no harm.
   *
   * @param snapshot what the other process knows
   */
  public void accept(ConfigurationSnapshot snapshot) {
    boolean ahead =
        snapshot.nextOffset() > stateOffset && snapshot.state().revision() >= state.revision();
    if (!ahead || !snapshot.state().isIntact()) {
      return;
    }
    adopt(snapshot);
    if (anchored) {
      nextOffset = Math.max(nextOffset, stateOffset);
    }
  }

  /**
   * Joins the state taken from a peer to the log again, where the log still has every record that
   * the state does not know.
   *
   * @param firstKept the lowest offset that the log still has
   */
  public void rejoin(long firstKept) {
    if (!anchored && known && stateOffset >= firstKept) {
      nextOffset = stateOffset;
      anchored = true;
    }
  }

  /** Returns the state in force as far as this reader knows. */
  public ConfigurationState state() {
    return state;
  }

  /** Returns a past revision, if it is still remembered. */
  public Optional<ConfigurationState> state(long revision) {
    return pastStates.of(revision);
  }

  /** Returns the offset of the next record wanted from the log. */
  public long nextOffset() {
    return nextOffset;
  }

  /** Tells whether a state was ever learnt from log or peer; before, nothing may be decided. */
  public boolean isKnown() {
    return known;
  }

  /** Tells whether each further record of the log can be judged. */
  public boolean isAnchored() {
    return anchored;
  }

  /**
   * Tells whether this reader may append a snapshot: it must be able to name the very offset at
   * which the snapshot would come.
   */
  public boolean maySnapshot() {
    return anchored && known && stateOffset == nextOffset && nextOffset > 0;
  }

  /**
   * Returns when the log took the record from which an empty process could learn the state; the
   * epoch where this reader has not seen that record.
   */
  public Instant keptSince() {
    return keptSince;
  }

  /** Returns how many snapshots on the log contradicted this reader; more than 0 is a fault. */
  public long divergences() {
    return divergences;
  }

  /** Returns what became of the last changes, oldest first. */
  public List<ConfigurationEvent> events() {
    return events.all();
  }

  /** Returns what became of a change, if it was read and is still remembered. */
  public Optional<ConfigurationEvent> event(String recordId) {
    return events.of(recordId);
  }

  /**
   * Describes the change that won over all others that are based on the same revision.
   *
   * @param basedOnRevision a revision below the one in force
   */
  public String winnerOver(long basedOnRevision) {
    long contested = basedOnRevision + 1;
    return events
        .accepted(contested)
        .map(winner -> describe(contested, winner.author(), winner.at(), winner.recordId()))
        .orElseGet(
            () ->
                describe(state.revision(), state.author(), state.at(), state.recordId())
                    + ", now in force");
  }

  /** Returns in short what this reader knows. */
  public Digest digest() {
    return new Digest(state.revision(), state.hash(), stateOffset);
  }

  /**
   * Returns what this reader knows, for the log or for a peer.
   *
   * @param recordId unique name of the record that it becomes
   */
  public ConfigurationSnapshot snapshot(String recordId) {
    List<ConfigurationEvent> recent = events.last(options.eventsPerSnapshot());
    return new ConfigurationSnapshot(recordId, stateOffset, state, recent);
  }

  private void applyChange(long offset, ConfigurationChange change) {
    if (!anchored) {
      return;
    }
    if (change.basedOnRevision() != state.revision()) {
      events.add(judged(offset, change, Result.CONFLICT, winnerOver(change.basedOnRevision())));
      return;
    }
    Optional<ConfigurationState> next = next(change);
    if (next.isEmpty()) {
      events.add(judged(offset, change, Result.CORRUPT, "does not result in the hash it names"));
      return;
    }
    state = next.get();
    known = true;
    pastStates.add(state, state.text(change.site()).length());
    events.add(judged(offset, change, Result.ACCEPTED, ""));
  }

  private Optional<ConfigurationState> next(ConfigurationChange change) {
    String old = state.text(change.site());
    if (!change.fits(old)) {
      return Optional.empty();
    }
    return Optional.of(
            state.with(
                change.site(),
                change.appliedTo(old),
                change.recordId(),
                change.author(),
                change.at()))
        .filter(result -> result.hash().equals(change.hash()));
  }

  /**
   * A snapshot counts only at the very offset that it names. Guards against a slow writer: had
   * another change come between, a reader that starts at this snapshot would never see that change,
   * which shows as an accepted change that is gone once retention has passed it.
   */
  private void applySnapshot(long offset, Instant appendedAt, ConfigurationSnapshot snapshot) {
    if (snapshot.nextOffset() != offset || !snapshot.state().isIntact()) {
      return;
    }
    keptSince = appendedAt;
    if (anchored) {
      divergences += snapshot.state().hash().equals(state.hash()) ? 0 : 1;
      return;
    }
    if (snapshot.state().revision() >= state.revision()) {
      adopt(snapshot);
      anchored = true;
    }
  }

  private void adopt(ConfigurationSnapshot snapshot) {
    snapshot.recentEvents().forEach(events::add);
    if (snapshot.state().revision() > state.revision()) {
      long characters =
          snapshot.state().base().length()
              + snapshot.state().overlays().values().stream().mapToLong(String::length).sum();
      pastStates.add(snapshot.state(), characters);
    }
    state = snapshot.state();
    stateOffset = snapshot.nextOffset();
    known = true;
  }

  private static String describe(long revision, String author, Instant at, String recordId) {
    return "revision " + revision + " by " + author + " at " + at + " (" + recordId + ")";
  }

  private ConfigurationEvent judged(
      long offset, ConfigurationChange change, Result result, String detail) {
    return new ConfigurationEvent(
        offset,
        change.recordId(),
        change.site(),
        change.author(),
        change.at(),
        change.basedOnRevision(),
        result,
        state.revision(),
        detail);
  }
}
