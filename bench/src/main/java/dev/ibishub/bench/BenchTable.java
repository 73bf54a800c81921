package dev.ibishub.bench;

import java.util.List;

/**
 * A table of results.
 *
 * @param title what the table shows, with the unit
 * @param columns names of the columns
 * @param rows the cells of each row, one for each column
 */
public record BenchTable(String title, List<String> columns, List<List<Object>> rows) {
  /** Checks that each row has one cell for each column. */
  public BenchTable {
    columns = List.copyOf(columns);
    rows = rows.stream().map(List::copyOf).toList();
    int width = columns.size();
    if (rows.stream().anyMatch(row -> row.size() != width)) {
      throw new IllegalArgumentException("a row of \"" + title + "\" does not fit its columns");
    }
  }
}
