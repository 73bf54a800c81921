package dev.ibishub.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Files that are broken, each in its own way; the comment in its first line is the fault. */
final class BrokenFilesTest {
  private static final Path FOLDER = Path.of("src", "test", "resources", "broken");

  static List<Path> files() throws IOException {
    try (Stream<Path> files = Files.list(FOLDER)) {
      return files.sorted().toList();
    }
  }

  @Test
  void thereAreTenKindsOrMore() throws IOException {
    assertThat(files()).hasSizeGreaterThanOrEqualTo(10);
  }

  @ParameterizedTest
  @MethodSource("files")
  void faultIsNamedWithItsPlace(Path file) throws IOException {
    String text = Files.readString(file);
    String expected = text.lines().findFirst().orElseThrow().substring("// ".length());

    SettingsException refused =
        catchThrowableOfType(
            SettingsException.class,
            () ->
                ConfigurationDocument.parse(
                    new ConfigurationDocument.Source("base.json", text), Map.of()));

    assertThat(refused.faults())
        .singleElement()
        .asString()
        .startsWith("base.json:" + expected.stripTrailing());
  }

  @Test
  void allFaultsOfAllFilesComeInOneAnswer() {
    SettingsException refused =
        catchThrowableOfType(
            SettingsException.class,
            () ->
                ConfigurationDocument.parse(
                    new ConfigurationDocument.Source("base.json", "{\"site\": [], \"models\": 1}"),
                    Map.of("s", new ConfigurationDocument.Source("s.json", "{\"groups\": true}"))));

    assertThat(refused.faults())
        .extracting(Fault::path)
        .containsExactly("site", "models", "groups");
  }
}
