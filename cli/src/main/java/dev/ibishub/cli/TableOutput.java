package dev.ibishub.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Formats JSON for the terminal: single values as lines, lists of objects as tables. */
final class TableOutput {
  private TableOutput() {}

  static String of(JsonNode node) {
    if (node.isArray()) {
      return table(node);
    }
    if (!node.isObject()) {
      return node.asText();
    }
    List<String> parts = new ArrayList<>();
    node.properties()
        .forEach(
            entry -> {
              JsonNode value = entry.getValue();
              boolean rows = value.isArray() && !value.isEmpty() && value.get(0).isObject();
              String text = rows ? "\n" + table(value) : " " + cell(value);
              parts.add(entry.getKey() + ":" + text);
            });
    return String.join("\n", parts);
  }

  private static String table(JsonNode rows) {
    Set<String> names = new LinkedHashSet<>();
    rows.forEach(row -> row.fieldNames().forEachRemaining(names::add));
    List<String> columns = List.copyOf(names);
    List<List<String>> lines = new ArrayList<>();
    lines.add(columns);
    rows.forEach(row -> lines.add(columns.stream().map(name -> cell(row.path(name))).toList()));
    int[] widths =
        IntStream.range(0, columns.size())
            .map(
                column ->
                    lines.stream().mapToInt(line -> line.get(column).length()).max().orElse(0))
            .toArray();
    return lines.stream().map(line -> line(line, widths)).collect(Collectors.joining("\n"));
  }

  private static String line(List<String> cells, int[] widths) {
    return IntStream.range(0, cells.size())
        .mapToObj(column -> pad(cells.get(column), widths[column]))
        .collect(Collectors.joining("  "))
        .stripTrailing();
  }

  private static String pad(String text, int width) {
    return text + " ".repeat(width - text.length());
  }

  private static String cell(JsonNode value) {
    return value.isContainerNode() ? value.toString() : value.asText();
  }
}
