package dev.ibishub.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import dev.ibishub.core.Configuration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

final class ConfigurationDocumentTest {
  private static final String KEY = "ab".repeat(32);
  private static final String BASE =
      """
      {
        // Two sites, one model.
        "sites": [
          {"name": "tbilisi", "zones": ["vake", "didube"]},
          {"name": "kolkata", "zones": ["howrah"]}
        ],
        "workspaces": [
          {"name": "kutaisi", "keySha256": ["%s"], "weight": 2},
          {"name": "portal"}
        ],
        "models": [{"name": "dictionary", "versions": ["v1"], "adapters": ["etymology"]}],
        "services": [
          {"name": "panel", "unrepeatableCalls": [{"method": "POST", "path": "/incentives/*"}]}
        ]
      }
      """
          .formatted(KEY);

  private static ConfigurationDocument parse(String base, String overlay) {
    return ConfigurationDocument.parse(
        new ConfigurationDocument.Source("base.json", base),
        Map.of("tbilisi", new ConfigurationDocument.Source("tbilisi.json", overlay)));
  }

  private static List<String> faults(String base, String overlay) {
    return catchThrowableOfType(SettingsException.class, () -> parse(base, overlay))
        .faults()
        .stream()
        .map(Fault::toString)
        .toList();
  }

  @Test
  void overlayOverridesOnlyKeysThatItSets() {
    Configuration merged =
        parse(BASE, "{\"workspaces\": [{\"name\": \"kutaisi\", \"requestsPerSecond\": 5}]}")
            .merged(7, "tbilisi");

    Configuration.Workspace workspace = merged.workspaceOfKey(KEY).orElseThrow();
    assertThat(workspace.weight()).isEqualTo(2);
    assertThat(workspace.requestsPerSecond()).isEqualTo(5);
    assertThat(merged.revision()).isEqualTo(7);
    assertThat(merged.zones()).containsExactly("vake", "didube");
  }

  @Test
  void overlayAppliesOnlyToItsOwnSite() {
    ConfigurationDocument document = parse(BASE, "{\"servedWorkspaces\": [\"portal\"]}");

    assertThat(document.merged(1, "tbilisi").workspaces()).containsOnlyKeys("portal");
    assertThat(document.merged(1, "kolkata").workspaces()).containsOnlyKeys("portal", "kutaisi");
  }

  @Test
  void matchesUnrepeatableCallsByMethodAndPath() {
    Configuration.Service panel = parse(BASE, "{}").merged(1, "kolkata").services().get("panel");

    assertThat(panel.mayBeRepeated("POST", "/incentives/17")).isFalse();
    assertThat(panel.mayBeRepeated("GET", "/incentives/17")).isTrue();
    assertThat(panel.mayBeRepeated("POST", "/questionnaires")).isTrue();
  }

  @Test
  void reportsAllUnknownNamesInOverlayWithTheirLocations() {
    List<String> faults =
        faults(
            BASE,
            """
            {"placements": [
              {"target": "vake-1", "models": ["dictionary", "thesaurus"], "versions": ["v9"]},
              {"target": "vake-2", "service": "lookup"}
            ]}
            """);

    assertThat(faults)
        .containsExactly(
            "tbilisi.json:2:49: placements[0].models[1]: no model \"thesaurus\"; expected one of"
                + " dictionary",
            "tbilisi.json:2:76: placements[0].versions[0]: no version \"v9\"; expected one of v1",
            "tbilisi.json:3:35: placements[1].service: no service \"lookup\"; expected one of"
                + " panel");
  }
}
