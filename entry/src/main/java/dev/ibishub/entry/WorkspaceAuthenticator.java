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

/** Authenticates callers: finds the workspace that an API key belongs to. Thread-safe. */
final class WorkspaceAuthenticator {
  private final Supplier<Configuration> configuration;
  private volatile Index index = new Index(0, Map.of());

  private record Index(long revision, Map<String, Workspace> byKey) {}

  WorkspaceAuthenticator(Supplier<Configuration> configuration) {
    this.configuration = configuration;
  }

  /**
   * Returns the workspace of a request. Keys are looked up by their SHA-256, so that the duration
   * of a look-up reveals nothing about a key.
   *
   * @throws ResultException with {@code UNAUTHENTICATED} if no workspace has the key, and with
   *     {@code NOT_READY} while this entry has no configuration: answering {@code UNAUTHENTICATED}
   *     then would make a caller give up although other entries serve it
   */
  Workspace authenticate(Headers headers) {
    Configuration current = configuration.get();
    if (current.revision() == 0) {
      throw new ResultException(ResultCode.NOT_READY, "this entry has no configuration yet");
    }
    Map<String, Workspace> byKey = keyIndex(current);
    return HttpExchanges.bearerToken(headers)
        .map(WorkspaceAuthenticator::sha256)
        .flatMap(hash -> Optional.ofNullable(byKey.get(hash)))
        .orElseThrow(
            () ->
                new ResultException(
                    ResultCode.UNAUTHENTICATED, "no workspace has the key in Authorization"));
  }

  /**
   * Returns the index of the current configuration, rebuilt by the first request that sees a new
   * revision.
   */
  private Map<String, Workspace> keyIndex(Configuration current) {
    Index cached = index;
    if (cached.revision() != current.revision()) {
      cached = new Index(current.revision(), current.workspacesByKey());
      index = cached;
    }
    return cached.byKey();
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
