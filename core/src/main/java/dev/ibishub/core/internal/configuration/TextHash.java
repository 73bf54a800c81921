package dev.ibishub.core.internal.configuration;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.SortedMap;

/** A hash over the number and the texts of a revision. */
public final class TextHash {
  private TextHash() {}

  /**
   * Hashes a revision.
   *
   * @param revision number of the revision
   * @param base the text of the base
   * @param overlays the texts of the overlays by site
   * @return SHA-256 in hexadecimal; each text is hashed with its length in front, so that moving
   *     characters from one text to the next changes the hash
   */
  public static String of(long revision, String base, SortedMap<String, String> overlays) {
    MessageDigest digest = sha256();
    digest.update(ByteBuffer.allocate(Long.BYTES).putLong(0, revision));
    add(digest, base);
    overlays.forEach(
        (site, text) -> {
          add(digest, site);
          add(digest, text);
        });
    return HexFormat.of().formatHex(digest.digest());
  }

  private static void add(MessageDigest digest, String text) {
    byte[] bytes = text.getBytes(UTF_8);
    digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(0, bytes.length));
    digest.update(bytes);
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every JDK has SHA-256", e);
    }
  }
}
