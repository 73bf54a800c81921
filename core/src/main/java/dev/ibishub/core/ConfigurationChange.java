package dev.ibishub.core;

import java.time.Instant;

/**
 * A change of the base or of one overlay, as an operator published it. The new text is carried as
 * what differs from the text that it replaces, so that a small change of a large file is a small
 * record.
 *
 * @param recordId unique name
 * @param site the site whose overlay changes, or empty for the base
 * @param basedOnRevision the revision that the author saw; the change takes hold only on top of it
 * @param hash hash of the whole state that results, see {@link ConfigurationState#hash}
 * @param author the operator
 * @param at when it was published, by the publishing process's clock; for people only
 * @param keptStart how many characters of the old text stay at its start
 * @param keptEnd how many characters of the old text stay at its end
 * @param text what stands between the two
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
   * Makes the record of a change.
   *
   * @param recordId unique name
   * @param state the state that the author saw
   * @param site the site whose overlay changes, or empty for the base
   * @param text the whole new text
   * @param author the operator
   * @param at the time now
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
    int start = commonStart(old, text);
    int end = commonEnd(old, text, start);
    return new ConfigurationChange(
        recordId,
        site,
        state.revision(),
        state.with(site, text, recordId, author, at).hash(),
        author,
        at,
        start,
        end,
        text.substring(start, text.length() - end));
  }

  /**
   * Tells whether the old text is long enough to have been the one that the author saw.
   *
   * @param old the text to be replaced
   */
  boolean fits(String old) {
    return keptStart >= 0 && keptEnd >= 0 && (long) keptStart + keptEnd <= old.length();
  }

  /** Makes the new text from the one that it replaces. */
  String appliedTo(String old) {
    return old.substring(0, keptStart) + text + old.substring(old.length() - keptEnd);
  }

  private static int commonStart(String one, String two) {
    int limit = Math.min(one.length(), two.length());
    int same = 0;
    while (same < limit && one.charAt(same) == two.charAt(same)) {
      same++;
    }
    return same;
  }

  private static int commonEnd(String one, String two, int start) {
    int limit = Math.min(one.length(), two.length()) - start;
    int same = 0;
    while (same < limit
        && one.charAt(one.length() - 1 - same) == two.charAt(two.length() - 1 - same)) {
      same++;
    }
    return same;
  }
}
