package dev.ibishub.entry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.sun.net.httpserver.Headers;
import dev.ibishub.core.Configuration;
import dev.ibishub.core.Configuration.Workspace;
import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class WorkspaceAuthenticatorTest {
  private static final String SHA256_OF_KEY =
      "2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683";

  private Configuration configuration = Configuration.empty("tbilisi");
  private final WorkspaceAuthenticator authenticator =
      new WorkspaceAuthenticator(() -> configuration);

  /**
   * Guards against a valid caller giving up: it reaches an entry that has just been replaced and
   * has not read the configuration yet, and must not be told that its key is wrong.
   */
  @Test
  void entryWithoutConfigurationFailsWithNotReady() {
    assertThatThrownBy(() -> authenticator.authenticate(headers("key")))
        .isInstanceOfSatisfying(
            ResultException.class,
            failure -> assertThat(failure.code()).isEqualTo(ResultCode.NOT_READY));
  }

  @Test
  void keyIsAcceptedOnceItsConfigurationIsKnown() {
    configuration = withWorkspace(1);

    assertThat(authenticator.authenticate(headers("key")).name()).isEqualTo("school-portal");
  }

  @Test
  void unknownKeyFailsWithUnauthenticated() {
    configuration = withWorkspace(1);

    assertThatThrownBy(() -> authenticator.authenticate(headers("other")))
        .isInstanceOfSatisfying(
            ResultException.class,
            failure -> assertThat(failure.code()).isEqualTo(ResultCode.UNAUTHENTICATED));
  }

  private static Headers headers(String key) {
    Headers headers = new Headers();
    headers.set("Authorization", "Bearer " + key);
    return headers;
  }

  private static Configuration withWorkspace(long revision) {
    Workspace workspace = new Workspace("school-portal", Set.of(SHA256_OF_KEY), 1, 9, 9, 9, 0);
    return new Configuration(
        revision,
        "tbilisi",
        List.of(),
        Map.of("school-portal", workspace),
        Map.of(),
        Map.of(),
        Map.of(),
        Map.of());
  }
}
