package dev.ibishub.bench;

import java.util.List;

/**
 * Figures as rows under named columns.
 *
 * @param title what the figures are, with their unit
 * @param columns names of the columns
 * @param rows cells, as many in each row as there are columns
 */
public record BenchTable(String title, List<String> columns, List<List<Object>> rows) {
  /** Checks that each row fits the columns. */
  public BenchTable {
    columns = List.copyOf(columns);
    rows = rows.stream().map(List::copyOf).toList();
    int width = columns.size();
    if (rows.stream().anyMatch(row -> row.size() != width)) {
      throw new IllegalArgumentException("a row of \"" + title + "\" does not fit its columns");
    }
  }
}
