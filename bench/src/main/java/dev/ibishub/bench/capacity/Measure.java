package dev.ibishub.bench.capacity;

import java.util.Arrays;
import java.util.List;
import java.util.function.IntToDoubleFunction;

/**
 * A value measured at several sizes.
 *
 * @param name what was measured
 * @param unit unit of the value
 * @param sizeName what the size counts
 * @param growth assumed growth of the value with the size
 * @param points the measured points
 */
record Measure(
    String name, String unit, String sizeName, Growth growth, List<LinearFit.Point> points) {
  static Measure over(
      String name,
      String unit,
      String sizeName,
      Growth growth,
      int[] sizes,
      IntToDoubleFunction value) {
    // Discarded: code is slow until the JVM has compiled it.
    double unused = value.applyAsDouble(sizes[0]);
    return new Measure(
        name,
        unit,
        sizeName,
        growth,
        Arrays.stream(sizes)
            .mapToObj(size -> new LinearFit.Point(size, value.applyAsDouble(size)))
            .toList());
  }

  LinearFit fit() {
    return LinearFit.of(points, growth::scale);
  }

  /** The assumed growth of a value with the size. */
  enum Growth {
    LINEAR("each"),
    LOGARITHMIC("each doubling");

    private final String label;

    Growth(String label) {
      this.label = label;
    }

    String label() {
      return label;
    }

    double scale(double size) {
      return this == LINEAR ? size : Math.log(size) / Math.log(2);
    }
  }
}
