package dev.ibishub.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.math.BigDecimal;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

final class ConfigurationPageTest {
  private static final Path PAGE = Path.of("..", "docs", "CONFIGURATION.md");

  private static Stream<String> rows(String path, ObjectSchema schema) {
    return schema.keys().values().stream()
        .flatMap(
            key -> {
              String name = path + key.name() + (key.type() == Key.Type.OBJECT_LIST ? "[]" : "");
              Stream<String> below =
                  key.members() == null ? Stream.of() : rows(name + ".", key.members());
              return Stream.concat(Stream.of(row(name, key)), below);
            });
  }

  private static String row(String name, Key key) {
    return String.format(
        "| `%s` | %s | %s | %s | %s | %s |",
        name,
        key.type().description(),
        key.unit(),
        key.required() ? "required" : defaultOf(key),
        KeyLimits.describe(key),
        key.description());
  }

  private static String defaultOf(Key key) {
    Object value = key.defaultValue();
    if (value instanceof Double number) {
      return BigDecimal.valueOf(number).stripTrailingZeros().toPlainString();
    }
    return value == null ? "none" : value.equals(List.of()) ? "empty" : String.valueOf(value);
  }

  private static List<String> table(String heading) throws IOException {
    return Files.readAllLines(PAGE).stream()
        .dropWhile(line -> !line.equals("## " + heading))
        .skip(1)
        .takeWhile(line -> !line.startsWith("## "))
        .filter(line -> line.startsWith("| `"))
        .toList();
  }

  @Test
  void pageListsEachKeyOfAnEntryAsDeclared() throws IOException {
    assertThat(table("Settings of an entry"))
        .containsExactlyElementsOf(rows("", EntrySettings.SCHEMA).toList());
  }

  @Test
  void pageListsEachKeyOfAnAgentAsDeclared() throws IOException {
    assertThat(table("Settings of an agent"))
        .containsExactlyElementsOf(rows("", AgentSettings.SCHEMA).toList());
  }

  @Test
  void pageListsEachKeyOfANodeAsDeclared() throws IOException {
    assertThat(table("Settings of a node"))
        .containsExactlyElementsOf(rows("", NodeSettings.SCHEMA).toList());
  }

  @Test
  void pageListsEachKeyOfTheBaseAsDeclared() throws IOException {
    assertThat(table("Published base"))
        .containsExactlyElementsOf(rows("", PublishedKeys.BASE).toList());
  }

  @Test
  void pageListsEachKeyOfAnOverlayAsDeclared() throws IOException {
    assertThat(table("Published overlay of a site"))
        .containsExactlyElementsOf(rows("", PublishedKeys.OVERLAY).toList());
  }
}
