package dev.ibishub.core.internal.configuration;

import dev.ibishub.core.ConfigurationState;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The last revisions, bounded in number and in characters. Revisions share the texts that did not
 * change, so only the changed one counts. Not thread-safe.
 */
public final class PastStates {
  private final int maximumRevisions;
  private final long maximumCharacters;
  private final TreeMap<Long, Kept> states = new TreeMap<>();
  private long characters;

  private record Kept(ConfigurationState state, long characters) {}

  public PastStates(int maximumRevisions, long maximumCharacters) {
    this.maximumRevisions = maximumRevisions;
    this.maximumCharacters = maximumCharacters;
  }

  /**
   * Adds the newest revision.
   *
   * @param state the revision
   * @param changedCharacters length of the text that it does not share with the one before
   */
  public void add(ConfigurationState state, long changedCharacters) {
    states.put(state.revision(), new Kept(state, changedCharacters));
    characters += changedCharacters;
    while (states.size() > 1
        && (states.size() > maximumRevisions || characters > maximumCharacters)) {
      characters -= states.pollFirstEntry().getValue().characters();
    }
  }

  public Optional<ConfigurationState> of(long revision) {
    return Optional.ofNullable(states.get(revision)).map(Kept::state);
  }
}
