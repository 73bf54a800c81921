package dev.ibishub.settings;

/** Paths of values in a file, as shown in faults. */
final class ValuePaths {
  private ValuePaths() {}

  static String member(String path, String key) {
    return path.isEmpty() ? key : path + "." + key;
  }

  static String element(String path, int index) {
    return path + "[" + index + "]";
  }
}
