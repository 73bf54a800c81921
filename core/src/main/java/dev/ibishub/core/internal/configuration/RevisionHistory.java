package dev.ibishub.core.internal.configuration;

import dev.ibishub.core.ConfigurationState;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The newest revisions, bounded in number and in characters. Revisions share the texts that did not
 * change, so only the changed text of each counts. Not thread-safe.
 */
public final class RevisionHistory {
  private final int maximumRevisions;
  private final long maximumCharacters;
  private final TreeMap<Long, SizedState> states = new TreeMap<>();
  private long characters;

  private record SizedState(ConfigurationState state, long characters) {}

  public RevisionHistory(int maximumRevisions, long maximumCharacters) {
    this.maximumRevisions = maximumRevisions;
    this.maximumCharacters = maximumCharacters;
  }

  /**
   * Adds the newest revision and drops the oldest ones that exceed a bound.
   *
   * @param state the revision
   * @param changedCharacters length of the texts that it does not share with the revision before
   */
  public void add(ConfigurationState state, long changedCharacters) {
    states.put(state.revision(), new SizedState(state, changedCharacters));
    characters += changedCharacters;
    while (states.size() > 1
        && (states.size() > maximumRevisions || characters > maximumCharacters)) {
      characters -= states.pollFirstEntry().getValue().characters();
    }
  }

  /** Finds a revision that is still kept. */
  public Optional<ConfigurationState> find(long revision) {
    return Optional.ofNullable(states.get(revision)).map(SizedState::state);
  }
}
