package dev.ibishub.bench;

import java.util.List;

/**
 * What a bench measured.
 *
 * @param tables the figures
 * @param charts drawn below each other into one picture; may be empty
 * @param aims what the figures were to reach; may be empty
 */
public record BenchReport(List<BenchTable> tables, List<Chart> charts, List<BenchAim> aims) {
  /** Copies the lists. */
  public BenchReport {
    tables = List.copyOf(tables);
    charts = List.copyOf(charts);
    aims = List.copyOf(aims);
  }
}
