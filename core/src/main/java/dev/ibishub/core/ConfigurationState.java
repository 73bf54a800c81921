package dev.ibishub.core;

import dev.ibishub.core.internal.configuration.TextHash;
import java.time.Instant;
import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * One accepted revision: its texts, and the change that made it. Immutable, so thread-safe.
 *
 * @param revision 0 before the first change, then incremented by each accepted change
 * @param base the text of the base
 * @param overlays the texts of the overlays, by site
 * @param recordId id of the change that made the revision, or empty for revision 0
 * @param author who published that change, or empty for revision 0
 * @param at when it was published, by the publishing process's clock
 * @param hash SHA-256 over the revision and all texts, in hexadecimal
 */
public record ConfigurationState(
    long revision,
    String base,
    SortedMap<String, String> overlays,
    String recordId,
    String author,
    Instant at,
    String hash) {

  /** The text of a base or an overlay that was never published. */
  public static final String EMPTY_TEXT = "{}";

  /** Copies the overlays. */
  public ConfigurationState {
    overlays = Collections.unmodifiableSortedMap(new TreeMap<>(overlays));
  }

  /** Returns the state before the first change. */
  public static ConfigurationState initial() {
    return of(0, EMPTY_TEXT, Map.of(), "", "", Instant.EPOCH);
  }

  /**
   * Creates a state and computes its hash.
   *
   * @param revision number of the revision
   * @param base the text of the base
   * @param overlays the texts of the overlays, by site
   * @param recordId id of the change that made the revision
   * @param author who published the change
   * @param at when it was published
   * @return the state
   */
  public static ConfigurationState of(
      long revision,
      String base,
      Map<String, String> overlays,
      String recordId,
      String author,
      Instant at) {
    SortedMap<String, String> sorted = new TreeMap<>(overlays);
    String hash = TextHash.of(revision, base, sorted);
    return new ConfigurationState(revision, base, sorted, recordId, author, at, hash);
  }

  /**
   * Returns the text of the base or of an overlay.
   *
   * @param site the site, or empty for the base
   * @return the text; {@link #EMPTY_TEXT} if it was never published
   */
  public String text(String site) {
    return site.isEmpty() ? base : overlays.getOrDefault(site, EMPTY_TEXT);
  }

  /**
   * Returns the next revision, in which one text is replaced.
   *
   * @param site the site whose overlay changes, or empty for the base
   * @param text the whole new text
   * @param newRecordId id of the change that makes the revision
   * @param newAuthor who published the change
   * @param newAt when it was published
   * @return the state that results
   */
  public ConfigurationState with(
      String site, String text, String newRecordId, String newAuthor, Instant newAt) {
    SortedMap<String, String> newOverlays = new TreeMap<>(overlays);
    if (!site.isEmpty()) {
      newOverlays.put(site, text);
    }
    String newBase = site.isEmpty() ? text : base;
    return of(revision + 1, newBase, newOverlays, newRecordId, newAuthor, newAt);
  }

  /** Tells whether the hash matches the revision and the texts. */
  public boolean isIntact() {
    return hash.equals(TextHash.of(revision, base, overlays));
  }
}
