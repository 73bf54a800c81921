package dev.ibishub.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.util.List;
import org.junit.jupiter.api.Test;

final class ProcessSettingsTest {
  private static final String ENTRY =
      """
      {
        // An entry in the failure domain vake.
        "processId": "entry-1", "zone": "vake", "site": "tbilisi",
        "host": "127.0.0.1", "callerPort": 0, "peerPort": 0,
        "logUrl": "http://127.0.0.1:9000", "virtualMachineListUrl": "http://127.0.0.1:9001",
        "operators": [{"name": "nino", "token": "token-of-nino", "role": "operator"}]
      }
      """;
  private static final String AGENT =
      """
      {
        "targetId": "vake-1", "zone": "vake", "site": "tbilisi",
        "host": "127.0.0.1", "port": 0, "kind": "model", "engineUrl": "http://127.0.0.1:9100",
        "logUrl": "http://127.0.0.1:9000", "virtualMachineListUrl": "http://127.0.0.1:9001"
      }
      """;

  private static List<String> agentFaults(String text) {
    return catchThrowableOfType(
            SettingsException.class, () -> AgentSettings.parse("agent.json", text))
        .faults()
        .stream()
        .map(Fault::toString)
        .toList();
  }

  @Test
  void entryUsesDefaultsForMissingKeys() {
    EntrySettings settings = EntrySettings.parse("entry.json", ENTRY);

    assertThat(settings.operators()).extracting(OperatorSettings::name).containsExactly("nino");
    assertThat(settings.drainSeconds()).isEqualTo(600);
    assertThat(settings.logFormat()).isEqualTo(LogFormat.KEY_VALUE);
    assertThat(settings.tls()).isEmpty();
  }

  @Test
  void omitsOperatorTokenFromToString() {
    assertThat(EntrySettings.parse("entry.json", ENTRY).toString()).doesNotContain("token-of-nino");
  }

  @Test
  void readsSettingsOfModelAgent() {
    AgentSettings settings = AgentSettings.parse("agent.json", AGENT);

    assertThat(settings.kind()).isEqualTo(AgentSettings.Kind.MODEL);
    assertThat(settings.engineUrl()).contains("http://127.0.0.1:9100");
  }

  @Test
  void refusesServiceAgentWithoutNameAndUrl() {
    assertThat(agentFaults(AGENT.replace("\"model\"", "\"service\"")))
        .containsExactly(
            "agent.json:1:1: serviceUrl: the key \"serviceUrl\" is missing; expected a value, as"
                + " kind is service",
            "agent.json:1:1: service: the key \"service\" is missing; expected a value, as kind is"
                + " service",
            "agent.json:3:67: engineUrl: has no meaning for kind service; expected it left out");
  }

  @Test
  void refusesGroupWithoutRank() {
    assertThat(agentFaults(AGENT.replace("\"port\"", "\"group\": \"g\", \"port\"")))
        .singleElement()
        .asString()
        .contains("group: one of group and rank alone");
  }
}
