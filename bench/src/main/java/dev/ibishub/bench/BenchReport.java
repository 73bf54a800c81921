package dev.ibishub.bench;

import java.util.List;

/**
 * The results of a measurement.
 *
 * @param tables the results as tables
 * @param charts charts that are drawn below each other in one image; may be empty
 * @param aims aims that the results are compared with; may be empty
 */
public record BenchReport(List<BenchTable> tables, List<Chart> charts, List<BenchAim> aims) {
  /** Copies the lists. */
  public BenchReport {
    tables = List.copyOf(tables);
    charts = List.copyOf(charts);
    aims = List.copyOf(aims);
  }
}
