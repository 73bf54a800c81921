package dev.ibishub.bench.capacity;

import java.util.List;
import java.util.function.DoubleUnaryOperator;

/**
 * A least-squares line through measured points.
 *
 * @param base value at zero
 * @param perUnit slope of the line
 * @param residual maximum distance of a point from the line, over the maximum value
 */
record LinearFit(double base, double perUnit, double residual) {
  static LinearFit of(List<Point> points, DoubleUnaryOperator scale) {
    int count = points.size();
    double meanX = points.stream().mapToDouble(p -> scale.applyAsDouble(p.size())).sum() / count;
    double meanY = points.stream().mapToDouble(Point::value).sum() / count;
    double covariance = 0;
    double variance = 0;
    for (Point point : points) {
      double x = scale.applyAsDouble(point.size()) - meanX;
      covariance += x * (point.value() - meanY);
      variance += x * x;
    }
    double perUnit = covariance / variance;
    double base = meanY - perUnit * meanX;
    double largest = points.stream().mapToDouble(Point::value).max().orElse(1);
    double residual =
        points.stream()
            .mapToDouble(p -> base + perUnit * scale.applyAsDouble(p.size()) - p.value())
            .map(Math::abs)
            .max()
            .orElse(0);
    return new LinearFit(base, perUnit, largest == 0 ? 0 : residual / largest);
  }

  /**
   * One measured value.
   *
   * @param size size at which the value was measured
   * @param value measured value
   */
  record Point(double size, double value) {}
}
