package dev.ibishub.core.serving.crashes;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.Objects;

/**
 * A fingerprint by which a request that is sent again is recognized, also at another entry. It is a
 * digest, so that neither keys of callers nor bodies are kept.
 *
 * @param digest the digest in hexadecimal
 */
public record RequestIdentity(String digest) {
  private static final int DIGEST_BYTES = 16;

  /** Checks that the digest is given. */
  public RequestIdentity {
    Objects.requireNonNull(digest);
  }

  /**
   * Returns the identity of a request.
   *
   * @param path the path with its query
   * @param caller the sender's workspace, or whatever else tells callers apart
   * @param body the whole body
   */
  public static RequestIdentity of(String path, String caller, ByteBuffer body) {
    MessageDigest digest = sha256();
    addText(digest, path);
    addText(digest, caller);
    digest.update(body.duplicate());
    byte[] digestBytes = digest.digest();
    return new RequestIdentity(HexFormat.of().formatHex(Arrays.copyOf(digestBytes, DIGEST_BYTES)));
  }

  /** Adds a text and a terminator, so that no two pairs of texts add the same bytes. */
  private static void addText(MessageDigest digest, String text) {
    digest.update(text.getBytes(StandardCharsets.UTF_8));
    digest.update((byte) 0);
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java runtime supports SHA-256", e);
    }
  }
}
