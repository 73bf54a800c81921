package dev.ibishub.core.serving;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.Objects;

/**
 * Tells whether two requests are the same one sent again, at whichever entry they come in. Holds a
 * digest only, so neither keys nor bodies are kept.
 *
 * @param digest the digest in hexadecimal
 */
public record RequestIdentity(String digest) {
  private static final int DIGEST_BYTES = 16;

  /** Checks that there is a digest. */
  public RequestIdentity {
    Objects.requireNonNull(digest);
  }

  /**
   * Makes the identity of a request.
   *
   * @param path the path with its query
   * @param caller who sends it: the workspace, or what else tells callers apart
   * @param body the whole body
   */
  public static RequestIdentity of(String path, String caller, byte[] body) {
    MessageDigest digest = sha256();
    addText(digest, path);
    addText(digest, caller);
    byte[] whole = digest.digest(body);
    return new RequestIdentity(HexFormat.of().formatHex(Arrays.copyOf(whole, DIGEST_BYTES)));
  }

  /** Adds a text and its end, so that no two pairs of texts give the same bytes. */
  private static void addText(MessageDigest digest, String text) {
    digest.update(text.getBytes(StandardCharsets.UTF_8));
    digest.update((byte) 0);
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("each JDK has SHA-256", e);
    }
  }
}
