package dev.ibishub.settings;

import java.util.List;
import java.util.Map;

/**
 * A JSON value with its place in a file.
 *
 * @param value a {@code Map} or {@code List} of located values, a String, Long, Double, Boolean, or
 *     null
 * @param line from 1
 * @param column from 1
 */
record LocatedValue(Object value, int line, int column) {
  @SuppressWarnings("unchecked")
  Map<String, LocatedValue> members() {
    return (Map<String, LocatedValue>) value;
  }

  @SuppressWarnings("unchecked")
  List<LocatedValue> elements() {
    return (List<LocatedValue>) value;
  }

  /** Names the value's type as a fault shows it. */
  String kind() {
    if (value == null) {
      return "null";
    }
    if (value instanceof Map) {
      return "section";
    }
    if (value instanceof List) {
      return "list";
    }
    return value instanceof String ? "text" : value instanceof Boolean ? "boolean" : "number";
  }
}
