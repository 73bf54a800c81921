package dev.ibishub.entry;

import com.sun.net.httpserver.Headers;
import dev.ibishub.core.Configuration;
import dev.ibishub.core.Configuration.Workspace;
import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;

/** Who a caller is, by its key. Thread-safe; the configuration is replaced as a whole. */
final class Workspaces {
  private volatile Map<String, Workspace> byKey = Map.of();

  /** Takes a configuration that has come into force. */
  void use(Configuration configuration) {
    byKey = configuration.workspacesByKey();
  }

  /**
   * Finds the workspace of a request. Keys are looked up by their SHA-256, so the time that a
   * look-up takes tells nothing about a key.
   *
   * @throws ResultException with {@code UNAUTHENTICATED}
   */
  Workspace of(Headers headers) {
    return Http.bearer(headers)
        .map(Workspaces::sha256)
        .flatMap(hash -> Optional.ofNullable(byKey.get(hash)))
        .orElseThrow(
            () ->
                new ResultException(
                    ResultCode.UNAUTHENTICATED, "no workspace has the key in Authorization"));
  }

  private static String sha256(String key) {
    try {
      byte[] digest =
          MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
      return HexFormat.of().formatHex(digest);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every JDK has SHA-256", e);
    }
  }
}
