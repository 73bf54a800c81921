package dev.ibishub.core;

import java.time.Instant;

/**
 * A change of the base or of one overlay, as an operator published it. Only the part of the new
 * text that differs from the old one is recorded, so a small change of a large file is a small
 * record.
 *
 * @param recordId unique id of the record
 * @param site the site whose overlay changes, or empty for the base
 * @param basedOnRevision the revision that the author saw; the change is accepted only on top of it
 * @param hash hash of the whole state that results, see {@link ConfigurationState#hash}
 * @param author the operator who published it
 * @param at when it was published, by the publishing process's clock; informational only
 * @param keptStart length in characters of the prefix of the old text that stays
 * @param keptEnd length in characters of the suffix of the old text that stays
 * @param text the new text between this prefix and this suffix
 */
public record ConfigurationChange(
    String recordId,
    String site,
    long basedOnRevision,
    String hash,
    String author,
    Instant at,
    int keptStart,
    int keptEnd,
    String text)
    implements ConfigurationRecord {

  /**
   * Creates the record of a change.
   *
   * @param recordId unique id of the record
   * @param state the state that the author saw
   * @param site the site whose overlay changes, or empty for the base
   * @param text the whole new text
   * @param author the operator who publishes it
   * @param at the current time
   * @return the record to append
   */
  public static ConfigurationChange of(
      String recordId,
      ConfigurationState state,
      String site,
      String text,
      String author,
      Instant at) {
    String old = state.text(site);
    int prefixLength = commonPrefixLength(old, text);
    int suffixLength = commonSuffixLength(old, text, prefixLength);
    return new ConfigurationChange(
        recordId,
        site,
        state.revision(),
        state.with(site, text, recordId, author, at).hash(),
        author,
        at,
        prefixLength,
        suffixLength,
        text.substring(prefixLength, text.length() - suffixLength));
  }

  /**
   * Tells whether a text is long enough for the prefix and the suffix that the change keeps of it.
   *
   * @param old the text to be replaced
   */
  boolean fits(String old) {
    return keptStart >= 0 && keptEnd >= 0 && (long) keptStart + keptEnd <= old.length();
  }

  /** Returns the new text made from the text to be replaced. */
  String appliedTo(String old) {
    return old.substring(0, keptStart) + text + old.substring(old.length() - keptEnd);
  }

  private static int commonPrefixLength(String one, String two) {
    int limit = Math.min(one.length(), two.length());
    int common = 0;
    while (common < limit && one.charAt(common) == two.charAt(common)) {
      common++;
    }
    return common;
  }

  private static int commonSuffixLength(String one, String two, int prefixLength) {
    int limit = Math.min(one.length(), two.length()) - prefixLength;
    int common = 0;
    while (common < limit
        && one.charAt(one.length() - 1 - common) == two.charAt(two.length() - 1 - common)) {
      common++;
    }
    return common;
  }
}
