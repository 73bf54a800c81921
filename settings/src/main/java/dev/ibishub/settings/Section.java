package dev.ibishub.settings;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * A checked object: typed values by key, with defaults filled in, and the places they came from.
 *
 * @param file the file it was read from
 * @param path its path in the file
 * @param at its place in the file
 * @param values values by key; those of keys left out without a default are missing
 * @param places places of the values given in the file
 * @param under what holds for keys that have no value here, or null for nothing
 */
record Section(
    String file,
    String path,
    LocatedValue at,
    Map<String, Object> values,
    Map<String, LocatedValue> places,
    Section under) {

  /** Lays this section over another one. */
  Section over(Section other) {
    return new Section(file, path, at, values, places, other);
  }

  /** Makes a section of a schema's defaults, to lay others over. */
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

  boolean gives(String key) {
    return places.containsKey(key) || (under != null && under.gives(key));
  }

  /** Makes a fault about the value of a key, or about the whole object where it is not given. */
  Fault fault(String key, String problem, String expected) {
    if (belongsUnder(key)) {
      return under.fault(key, problem, expected);
    }
    return faultAt(places.getOrDefault(key, at), Paths.member(path, key), problem, expected);
  }

  /** Makes a fault about an element of a list of texts. */
  Fault fault(String key, int index, String problem, String expected) {
    if (belongsUnder(key)) {
      return under.fault(key, index, problem, expected);
    }
    LocatedValue list = places.get(key);
    LocatedValue element = list == null ? at : list.elements().get(index);
    return faultAt(element, Paths.element(Paths.member(path, key), index), problem, expected);
  }

  private Fault faultAt(LocatedValue place, String where, String problem, String expected) {
    return new Fault(
        file, place.line(), place.column(), where, problem, expected, Optional.empty());
  }

  private boolean belongsUnder(String key) {
    return !places.containsKey(key) && under != null && under.gives(key);
  }

  private Object find(String key) {
    Object value = values.get(key);
    return value != null || under == null ? value : under.find(key);
  }

  private Object value(String key) {
    Object value = find(key);
    if (value == null) {
      throw new IllegalStateException("no key " + key + " in " + path);
    }
    return value;
  }
}
