package dev.ibishub.bench;

import java.util.List;

/**
 * A line chart.
 *
 * @param title over the chart
 * @param xLabel of the horizontal axis, with its unit
 * @param yLabel of the vertical axis, with its unit
 * @param lines what is drawn
 */
public record Chart(String title, String xLabel, String yLabel, List<Line> lines) {
  /** Copies the list. */
  public Chart {
    lines = List.copyOf(lines);
  }

  /**
   * One line.
   *
   * @param name in the legend
   * @param points in the order in which they are joined
   */
  public record Line(String name, List<Point> points) {
    /** Copies the list. */
    public Line {
      points = List.copyOf(points);
    }
  }

  /**
   * One point.
   *
   * @param x along the horizontal axis
   * @param y along the vertical axis
   */
  public record Point(double x, double y) {}
}
