package dev.ibishub.settings;

import java.util.List;
import java.util.Map;

/**
 * JSON value with its location in a file.
 *
 * @param value a {@code Map} or {@code List} of located values, a String, Long, Double, Boolean, or
 *     null
 * @param line the line, from 1
 * @param column the column, from 1
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

  /** Returns the name of the value's type for faults. */
  String typeName() {
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
