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
import java.util.function.Supplier;

/** Who a caller is, by its key. Thread-safe. */
final class Workspaces {
  private final Supplier<Configuration> configuration;
  private volatile Index index = new Index(0, Map.of());

  private record Index(long revision, Map<String, Workspace> byKey) {}

  Workspaces(Supplier<Configuration> configuration) {
    this.configuration = configuration;
  }

  /**
   * Finds the workspace of a request. Keys are looked up by their SHA-256, so the time that a
   * look-up takes tells nothing about a key.
   *
   * @throws ResultException with {@code UNAUTHENTICATED}, and with {@code NOT_READY} while nothing
   *     is known of the configuration: a fresh entry that said "unauthenticated" would turn a
   *     caller away for good that any other entry serves
   */
  Workspace of(Headers headers) {
    Configuration current = configuration.get();
    if (current.revision() == 0) {
      throw new ResultException(ResultCode.NOT_READY, "this entry has no configuration yet");
    }
    Map<String, Workspace> byKey = keysOf(current);
    return HttpExchanges.bearerToken(headers)
        .map(Workspaces::sha256)
        .flatMap(hash -> Optional.ofNullable(byKey.get(hash)))
        .orElseThrow(
            () ->
                new ResultException(
                    ResultCode.UNAUTHENTICATED, "no workspace has the key in Authorization"));
  }

  /** The index is made anew by the first request that sees a new configuration. */
  private Map<String, Workspace> keysOf(Configuration current) {
    Index known = index;
    if (known.revision() != current.revision()) {
      known = new Index(current.revision(), current.workspacesByKey());
      index = known;
    }
    return known.byKey();
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
