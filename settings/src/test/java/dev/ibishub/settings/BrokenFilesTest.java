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

/** Tests files that each have one fault; the comment in the first line is the expected report. */
final class BrokenFilesTest {
  private static final Path FOLDER = Path.of("src", "test", "resources", "broken");

  static List<Path> files() throws IOException {
    try (Stream<Path> files = Files.list(FOLDER)) {
      return files.sorted().toList();
    }
  }

  @Test
  void coversAtLeastTenKindsOfFaults() throws IOException {
    assertThat(files()).hasSizeGreaterThanOrEqualTo(10);
  }

  @ParameterizedTest
  @MethodSource("files")
  void reportsFaultWithItsLocation(Path file) throws IOException {
    String text = Files.readString(file);
    String expected = text.lines().findFirst().orElseThrow().substring("// ".length());

    SettingsException exception =
        catchThrowableOfType(
            SettingsException.class,
            () ->
                ConfigurationDocument.parse(
                    new ConfigurationDocument.Source("base.json", text), Map.of()));

    assertThat(exception.faults())
        .singleElement()
        .asString()
        .startsWith("base.json:" + expected.stripTrailing());
  }

  @Test
  void reportsAllFaultsOfAllFilesAtOnce() {
    SettingsException exception =
        catchThrowableOfType(
            SettingsException.class,
            () ->
                ConfigurationDocument.parse(
                    new ConfigurationDocument.Source("base.json", "{\"site\": [], \"models\": 1}"),
                    Map.of("s", new ConfigurationDocument.Source("s.json", "{\"groups\": true}"))));

    assertThat(exception.faults())
        .extracting(Fault::path)
        .containsExactly("site", "models", "groups");
  }
}
