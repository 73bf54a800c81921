package dev.ibishub.bench;

import java.util.List;

/**
 * A line chart.
 *
 * @param title title above the chart
 * @param xLabel label of the horizontal axis, with its unit
 * @param yLabel label of the vertical axis, with its unit
 * @param lines the lines
 */
public record Chart(String title, String xLabel, String yLabel, List<Line> lines) {
  /** Copies the list. */
  public Chart {
    lines = List.copyOf(lines);
  }

  /**
   * A line of a chart.
   *
   * @param name name in the legend
   * @param points in the order in which they are connected
   */
  public record Line(String name, List<Point> points) {
    /** Copies the list. */
    public Line {
      points = List.copyOf(points);
    }
  }

  /**
   * A point of a line.
   *
   * @param x position on the horizontal axis
   * @param y position on the vertical axis
   */
  public record Point(double x, double y) {}
}
