package dev.ibishub.bench;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Formats a table as aligned Markdown, ready to be pasted into a page. */
final class TextTable {
  private TextTable() {}

  static String of(BenchTable table) {
    List<List<String>> rows =
        table.rows().stream().map(row -> row.stream().map(TextTable::cell).toList()).toList();
    List<Integer> widths =
        IntStream.range(0, table.columns().size())
            .mapToObj(column -> width(table.columns().get(column), rows, column))
            .toList();
    String rule = widths.stream().map("-"::repeat).collect(Collectors.joining(" | ", "| ", " |"));
    String body = rows.stream().map(row -> line(row, widths)).collect(Collectors.joining("\n"));
    return String.join("\n", table.title(), "", line(table.columns(), widths), rule, body, "");
  }

  private static int width(String header, List<List<String>> rows, int column) {
    return Math.max(
        header.length(), rows.stream().mapToInt(row -> row.get(column).length()).max().orElse(0));
  }

  private static String line(List<String> cells, List<Integer> widths) {
    return IntStream.range(0, cells.size())
        .mapToObj(column -> pad(cells.get(column), widths.get(column)))
        .collect(Collectors.joining(" | ", "| ", " |"));
  }

  private static String pad(String cell, int width) {
    return cell + " ".repeat(width - cell.length());
  }

  private static String cell(Object value) {
    if (!(value instanceof Double number)) {
      return String.valueOf(value);
    }
    double size = Math.abs(number);
    String format = size >= 100 ? "%.0f" : size >= 10 ? "%.1f" : size >= 1 ? "%.2f" : "%.3f";
    return String.format(Locale.ROOT, format, number);
  }
}
