package dev.ibishub.bench.capacity;

import java.util.Arrays;
import java.util.List;
import java.util.function.IntToDoubleFunction;

/**
 * One value measured over several sizes.
 *
 * @param name what was measured
 * @param unit of the value
 * @param of what the size counts
 * @param growth linear or logarithmic
 * @param points as measured
 */
record Measure(String name, String unit, String of, Growth growth, List<Slope.Point> points) {
  static Measure over(
      String name, String unit, String of, Growth growth, int[] sizes, IntToDoubleFunction value) {
    // Not kept: the first run of code is slow until it is compiled.
    double unused = value.applyAsDouble(sizes[0]);
    return new Measure(
        name,
        unit,
        of,
        growth,
        Arrays.stream(sizes)
            .mapToObj(size -> new Slope.Point(size, value.applyAsDouble(size)))
            .toList());
  }

  Slope slope() {
    return Slope.of(points, growth::scale);
  }

  /** How a value is taken to grow. */
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
