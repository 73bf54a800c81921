package dev.ibishub.bench;

import java.awt.BasicStroke;
import java.awt.Color;
import java.awt.Graphics2D;
import java.awt.RenderingHints;
import java.awt.image.BufferedImage;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;

/** Draws charts below each other into one image. */
final class ChartPainter {
  private static final int WIDTH = 900;
  private static final int HEIGHT = 420;
  private static final int LEFT = 80;
  private static final int RIGHT = 230;
  private static final int TOP = 40;
  private static final int BOTTOM = 50;
  private static final int TICKS = 5;
  private static final List<Color> COLORS =
      List.of(
          new Color(0x1b6ca8),
          new Color(0xc0392b),
          new Color(0x27803b),
          new Color(0x8e44ad),
          new Color(0xd68910),
          new Color(0x566573),
          new Color(0x0e8a8a),
          new Color(0xa04000));

  private ChartPainter() {}

  static BufferedImage paint(List<Chart> charts) {
    BufferedImage image =
        new BufferedImage(WIDTH, HEIGHT * Math.max(1, charts.size()), BufferedImage.TYPE_INT_RGB);
    Graphics2D graphics = image.createGraphics();
    graphics.setRenderingHint(RenderingHints.KEY_ANTIALIASING, RenderingHints.VALUE_ANTIALIAS_ON);
    graphics.setColor(Color.WHITE);
    graphics.fillRect(0, 0, image.getWidth(), image.getHeight());
    IntStream.range(0, charts.size())
        .forEach(number -> paintOne(charts.get(number), moved(graphics, number * HEIGHT)));
    graphics.dispose();
    return image;
  }

  private static Graphics2D moved(Graphics2D graphics, int down) {
    Graphics2D copy = (Graphics2D) graphics.create();
    copy.translate(0, down);
    return copy;
  }

  private static void paintOne(Chart chart, Graphics2D graphics) {
    Axis x = Axis.of(chart, Chart.Point::x, LEFT, WIDTH - RIGHT);
    Axis y = Axis.of(chart, Chart.Point::y, HEIGHT - BOTTOM, TOP);
    paintAxes(chart, graphics, x, y);
    IntStream.range(0, chart.lines().size())
        .forEach(number -> paintLine(chart.lines().get(number), number, graphics, x, y));
    graphics.dispose();
  }

  private static void paintAxes(Chart chart, Graphics2D graphics, Axis x, Axis y) {
    graphics.setColor(Color.BLACK);
    graphics.drawString(chart.title(), LEFT, TOP - 16);
    graphics.drawString(chart.xLabel(), (LEFT + WIDTH - RIGHT) / 2, HEIGHT - 10);
    graphics.drawString(chart.yLabel(), 8, TOP - 4);
    for (int tick = 0; tick <= TICKS; tick++) {
      double atX = x.valueAt((double) tick / TICKS);
      double atY = y.valueAt((double) tick / TICKS);
      graphics.setColor(new Color(0xdddddd));
      graphics.drawLine(LEFT, y.pixel(atY), WIDTH - RIGHT, y.pixel(atY));
      graphics.setColor(Color.BLACK);
      graphics.drawString(label(atX), x.pixel(atX) - 10, HEIGHT - BOTTOM + 18);
      graphics.drawString(label(atY), 8, y.pixel(atY) + 4);
    }
    graphics.drawRect(LEFT, TOP, WIDTH - RIGHT - LEFT, HEIGHT - BOTTOM - TOP);
  }

  private static void paintLine(Chart.Line line, int number, Graphics2D graphics, Axis x, Axis y) {
    graphics.setColor(COLORS.get(number % COLORS.size()));
    graphics.setStroke(new BasicStroke(2));
    int[] xs = line.points().stream().mapToInt(point -> x.pixel(point.x())).toArray();
    int[] ys = line.points().stream().mapToInt(point -> y.pixel(point.y())).toArray();
    graphics.drawPolyline(xs, ys, xs.length);
    IntStream.range(0, xs.length).forEach(at -> graphics.fillOval(xs[at] - 2, ys[at] - 2, 5, 5));
    int height = TOP + 16 + 18 * number;
    graphics.drawLine(WIDTH - RIGHT + 12, height - 4, WIDTH - RIGHT + 32, height - 4);
    graphics.drawString(line.name(), WIDTH - RIGHT + 38, height);
  }

  private static String label(double value) {
    return String.format(Locale.ROOT, Math.abs(value) >= 100 ? "%.0f" : "%.3g", value);
  }

  private record Axis(double low, double high, int fromPixel, int toPixel) {
    static Axis of(Chart chart, ToDoubleFunction<Chart.Point> value, int from, int to) {
      double[] sorted =
          chart.lines().stream()
              .flatMap(line -> line.points().stream())
              .mapToDouble(value)
              .filter(Double::isFinite)
              .sorted()
              .toArray();
      double low = sorted.length == 0 ? 0 : Math.min(0, sorted[0]);
      double high = sorted.length == 0 ? 1 : sorted[sorted.length - 1];
      return new Axis(low, high > low ? high : low + 1, from, to);
    }

    int pixel(double value) {
      double bounded = Double.isFinite(value) ? value : high;
      return (int) (fromPixel + (toPixel - fromPixel) * (bounded - low) / (high - low));
    }

    double valueAt(double share) {
      return low + share * (high - low);
    }
  }
}
