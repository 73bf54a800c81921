package dev.ibishub.core;

import dev.ibishub.core.internal.configuration.TextHash;
import java.time.Instant;
import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The texts of one accepted revision and who made it. Immutable, so thread-safe.
 *
 * @param revision 0 before the first change, then one more with each accepted change
 * @param base the text of the base
 * @param overlays the texts of the overlays, by site
 * @param recordId the change that made the revision, or empty for revision 0
 * @param author who made it
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

  /** The text of a base that nobody has published yet. */
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
   * Makes a state and works out its hash.
   *
   * @param revision number of the revision
   * @param base the text of the base
   * @param overlays the texts of the overlays, by site
   * @param recordId the change that made the revision
   * @param author who made it
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
   * @return the text; {@link #EMPTY_TEXT} for an overlay that nobody has published
   */
  public String text(String site) {
    return site.isEmpty() ? base : overlays.getOrDefault(site, EMPTY_TEXT);
  }

  /**
   * Returns the next revision, in which one text is another.
   *
   * @param site the site whose overlay changes, or empty for the base
   * @param text the whole new text
   * @param newRecordId the change that makes the revision
   * @param newAuthor who makes it
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

  /** Tells whether the hash is that of the revision and texts. */
  public boolean isIntact() {
    return hash.equals(TextHash.of(revision, base, overlays));
  }
}
