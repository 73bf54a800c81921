package dev.ibishub.core;

import dev.ibishub.core.ConfigurationEvent.Result;
import dev.ibishub.core.internal.configuration.EventHistory;
import dev.ibishub.core.internal.configuration.RevisionHistory;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/**
 * Applies the records of the log's stream {@code configuration} in offset order. All readers reach
 * the same verdict on each record, whatever their release: a change is accepted if and only if it
 * is based on the revision in force and results in the state whose hash it names. Texts are
 * validated before they are appended, never here.
 *
 * <p>The revision never decreases. Not thread-safe.
 *
 * <p>Used behind ibishub's own interface; its counterpart on the platform of its users is {@code
 * ConfigurationState} of the module node.
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
  private final RevisionHistory revisions;
  private ConfigurationState state = ConfigurationState.initial();
  private long nextOffset;
  private long stateOffset;
  private boolean anchored = true;
  private boolean known;
  private long divergences;
  private Instant restorePointAt = Instant.EPOCH;

  /**
   * Bounds of a reader's memory.
   *
   * @param maximumEvents the most events kept for history and audit trail
   * @param eventsPerSnapshot the most events in a snapshot
   * @param maximumRevisions the most revisions kept
   * @param maximumCharacters the most characters kept of the texts of these revisions
   */
  public record Options(
      int maximumEvents, int eventsPerSnapshot, int maximumRevisions, long maximumCharacters) {
    /** Returns 1,000 events, 64 in a snapshot, and 64 revisions of 4,000,000 characters. */
    public static Options defaults() {
      return new Options(1_000, 64, 64, 4_000_000);
    }
  }

  /**
   * A summary of a reader's state, which processes compare to see which of them is behind.
   *
   * @param revision the revision in force
   * @param hash hash of the state in force
   * @param stateOffset offset of the first record that the state does not include
   */
  public record Digest(long revision, String hash, long stateOffset) {
    /** Tells whether the other digest's state is newer in revision or includes more records. */
    public boolean isBehind(Digest other) {
      return stateOffset < other.stateOffset || revision < other.revision;
    }
  }

  private ConfigurationReader(Options options) {
    this.options = options;
    this.events = new EventHistory(options.maximumEvents());
    this.revisions = new RevisionHistory(options.maximumRevisions(), options.maximumCharacters());
    revisions.add(state, state.base().length());
  }

  /** Creates a reader that has read nothing. */
  public static ConfigurationReader create(Options options) {
    return new ConfigurationReader(options);
  }

  /**
   * Skips the records that retention has deleted before this reader read them. The reader cannot
   * know whether they were accepted; if it applied later records to its old state, it might accept
   * changes that all other readers reject, and revisions would differ between processes. So it
   * keeps its state and applies no change until it gets a snapshot from the log or from a peer.
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
   * Applies the record at {@link #nextOffset}; a record at any other offset is ignored.
   *
   * @param offset the record's offset
   * @param appendedAt when the record was appended, by the log's clock
   * @param record the record, or empty for bytes that are not a valid record, which every release
   *     skips
   */
  public void apply(long offset, Instant appendedAt, Optional<ConfigurationRecord> record) {
    if (offset != nextOffset) {
      return;
    }
    nextOffset++;
    if (offset == 0) {
      restorePointAt = appendedAt;
    }
    record.ifPresent(
        parsed -> {
          if (parsed instanceof ConfigurationChange change) {
            applyChange(offset, change);
          } else if (parsed instanceof ConfigurationSnapshot snapshot) {
            applySnapshot(offset, appendedAt, snapshot);
          }
        });
    if (anchored) {
      stateOffset = nextOffset;
    }
  }

  /**
   * Notes that the end of the log was reached. A reader that got there without a gap knows the
   * configuration, even if none was ever published.
   */
  public void reachedEnd() {
    known |= anchored;
  }

  /**
   * Adopts the state of a peer if it is intact and ahead of this reader's. Any other snapshot is
   * ignored, so snapshots may come late, repeatedly and in any order.
   *
   * @param snapshot the peer's state
   */
  public void adoptPeerState(ConfigurationSnapshot snapshot) {
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
   * Resumes reading the log from a state adopted from a peer, if the log still has every record
   * that the state does not include.
   *
   * @param firstKept the lowest offset that the log still has
   */
  public void rejoin(long firstKept) {
    if (!anchored && known && stateOffset >= firstKept) {
      nextOffset = stateOffset;
      anchored = true;
    }
  }

  /** Returns the state in force according to the records read so far. */
  public ConfigurationState state() {
    return state;
  }

  /** Returns the state of a revision, if it is still kept. */
  public Optional<ConfigurationState> state(long revision) {
    return revisions.find(revision);
  }

  /** Returns the offset of the next record to read from the log. */
  public long nextOffset() {
    return nextOffset;
  }

  /**
   * Tells whether a state was learnt from the log or from a peer. Until then {@link #state()} is
   * only a placeholder and no decision may be based on it.
   */
  public boolean isKnown() {
    return known;
  }

  /** Tells whether the state includes every record before {@link #nextOffset}, without a gap. */
  public boolean isAnchored() {
    return anchored;
  }

  /**
   * Tells whether this reader may append a snapshot: it must know the configuration and include
   * every record that it has read, and there must be at least one.
   */
  public boolean maySnapshot() {
    return anchored && known && stateOffset == nextOffset && nextOffset > 0;
  }

  /**
   * Returns when the newest record was appended from which a process without state could restore
   * the configuration: the newest valid snapshot, or the record at offset 0.
   *
   * @return the time by the log's clock, or {@link Instant#EPOCH} if this reader has read no such
   *     record
   */
  public Instant restorePointAt() {
    return restorePointAt;
  }

  /**
   * Returns how many snapshots on the log differed from this reader's state; above 0 is a fault.
   */
  public long divergences() {
    return divergences;
  }

  /** Returns the verdicts on the latest changes, oldest first. */
  public List<ConfigurationEvent> events() {
    return events.all();
  }

  /** Returns the verdict on a change, if the change was read and its event is still kept. */
  public Optional<ConfigurationEvent> event(String recordId) {
    return events.find(recordId);
  }

  /**
   * Describes the change that was accepted on top of a revision, for the author of one that was
   * not. Describes the revision in force if that change's event is no longer kept.
   *
   * @param basedOnRevision a revision below the one in force
   */
  public String describeConflictingChange(long basedOnRevision) {
    long contestedRevision = basedOnRevision + 1;
    return events
        .findAccepted(contestedRevision)
        .map(winner -> describe(contestedRevision, winner.author(), winner.at(), winner.recordId()))
        .orElseGet(
            () ->
                describe(state.revision(), state.author(), state.at(), state.recordId())
                    + ", now in force");
  }

  /** Returns a summary of the state. */
  public Digest digest() {
    return new Digest(state.revision(), state.hash(), stateOffset);
  }

  /**
   * Returns the state and the latest events, to append to the log or to send to a peer.
   *
   * @param recordId unique id of the new record
   */
  public ConfigurationSnapshot snapshot(String recordId) {
    List<ConfigurationEvent> recent = events.latest(options.eventsPerSnapshot());
    return new ConfigurationSnapshot(recordId, stateOffset, state, recent);
  }

  private void applyChange(long offset, ConfigurationChange change) {
    if (!anchored) {
      return;
    }
    if (change.basedOnRevision() != state.revision()) {
      events.add(
          eventOf(
              offset,
              change,
              Result.CONFLICT,
              describeConflictingChange(change.basedOnRevision())));
      return;
    }
    Optional<ConfigurationState> result = resultOf(change);
    if (result.isEmpty()) {
      events.add(eventOf(offset, change, Result.CORRUPT, "does not result in the hash it names"));
      return;
    }
    state = result.get();
    known = true;
    revisions.add(state, state.text(change.site()).length());
    events.add(eventOf(offset, change, Result.ACCEPTED, ""));
  }

  private Optional<ConfigurationState> resultOf(ConfigurationChange change) {
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
   * Applies a snapshot if its offset on the log is the one that it names. A slow writer's snapshot
   * may come after a change that it does not include; a reader that started from it would miss that
   * change, which would be lost once retention deletes its record.
   */
  private void applySnapshot(long offset, Instant appendedAt, ConfigurationSnapshot snapshot) {
    if (snapshot.nextOffset() != offset || !snapshot.state().isIntact()) {
      return;
    }
    restorePointAt = appendedAt;
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
      revisions.add(snapshot.state(), characters);
    }
    state = snapshot.state();
    stateOffset = snapshot.nextOffset();
    known = true;
  }

  private static String describe(long revision, String author, Instant at, String recordId) {
    return "revision " + revision + " by " + author + " at " + at + " (" + recordId + ")";
  }

  private ConfigurationEvent eventOf(
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
