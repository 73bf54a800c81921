package dev.ibishub.settings;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Validated JSON object: typed values by key, including defaults, and their locations in the file.
 *
 * @param file the name of the file
 * @param path the path of the object in the file
 * @param location the location of the object in the file; null for a section of defaults
 * @param values the values by key, without keys that have neither a value nor a default
 * @param locations the locations of the values that the file sets, by key
 * @param fallback the section that provides values for keys without one here, or null for none
 */
record Section(
    String file,
    String path,
    LocatedValue location,
    Map<String, Object> values,
    Map<String, LocatedValue> locations,
    Section fallback) {

  /** Returns this section with another one as its fallback. */
  Section withFallback(Section other) {
    return new Section(file, path, location, values, locations, other);
  }

  /** Returns a section with the defaults of a schema, for use as a fallback. */
  static Section defaults(ObjectSchema schema) {
    Map<String, Object> values =
        schema.keys().values().stream()
            .filter(key -> key.defaultValue() != null)
            .collect(Collectors.toMap(Key::name, Key::defaultValue));
    return new Section("", "", null, values, Map.of(), null);
  }

  String text(String key) {
    return (String) value(key);
  }

  Optional<String> optionalText(String key) {
    return Optional.ofNullable((String) find(key));
  }

  int integer(String key) {
    return Math.toIntExact((Long) value(key));
  }

  long longInteger(String key) {
    return (Long) value(key);
  }

  Optional<Integer> optionalInteger(String key) {
    return Optional.ofNullable((Long) find(key)).map(Math::toIntExact);
  }

  double number(String key) {
    return ((Number) value(key)).doubleValue();
  }

  boolean flag(String key) {
    return (Boolean) value(key);
  }

  @SuppressWarnings("unchecked")
  List<String> texts(String key) {
    return (List<String>) value(key);
  }

  Optional<Section> section(String key) {
    return Optional.ofNullable((Section) find(key));
  }

  @SuppressWarnings("unchecked")
  List<Section> sections(String key) {
    return (List<Section>) value(key);
  }

  /** Tells whether this section or its fallback sets the key in a file; defaults do not count. */
  boolean isSet(String key) {
    return locations.containsKey(key) || (fallback != null && fallback.isSet(key));
  }

  /** Creates a fault at the value of a key, or at the object if no file sets the key. */
  Fault fault(String key, String problem, String expected) {
    if (isSetInFallback(key)) {
      return fallback.fault(key, problem, expected);
    }
    return faultAt(
        locations.getOrDefault(key, location), ValuePaths.member(path, key), problem, expected);
  }

  /** Creates a fault at an element of a list of texts. */
  Fault fault(String key, int index, String problem, String expected) {
    if (isSetInFallback(key)) {
      return fallback.fault(key, index, problem, expected);
    }
    LocatedValue list = locations.get(key);
    LocatedValue element = list == null ? location : list.elements().get(index);
    return faultAt(
        element, ValuePaths.element(ValuePaths.member(path, key), index), problem, expected);
  }

  private Fault faultAt(LocatedValue value, String valuePath, String problem, String expected) {
    return new Fault(
        file, value.line(), value.column(), valuePath, problem, expected, Optional.empty());
  }

  private boolean isSetInFallback(String key) {
    return !locations.containsKey(key) && fallback != null && fallback.isSet(key);
  }

  private Object find(String key) {
    Object value = values.get(key);
    return value != null || fallback == null ? value : fallback.find(key);
  }

  private Object value(String key) {
    Object value = find(key);
    if (value == null) {
      throw new IllegalStateException("no key " + key + " in " + path);
    }
    return value;
  }
}
