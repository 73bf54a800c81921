package dev.ibishub.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;

/** Checks a file against a schema and collects all that is wrong. Not thread-safe. */
final class SchemaReader {
  private final String file;
  private final List<Fault> faults = new ArrayList<>();

  private SchemaReader(String file) {
    this.file = file;
  }

  /**
   * Reads a text.
   *
   * @param file the name for faults
   * @param text JSON with comments
   * @param schema what may stand in it
   * @param faults takes all that is wrong
   * @return the checked root, or empty where anything was wrong
   */
  static Optional<Section> read(String file, String text, ObjectSchema schema, List<Fault> faults) {
    SchemaReader reader = new SchemaReader(file);
    Optional<Section> root =
        LocatedJson.parse(file, text, reader.faults)
            .flatMap(value -> reader.section("", value, schema));
    faults.addAll(reader.faults);
    return reader.faults.isEmpty() ? root : Optional.empty();
  }

  private Optional<Section> section(String path, LocatedValue value, ObjectSchema schema) {
    if (!(value.value() instanceof Map)) {
      wrongType(path, value, "a section in { }");
      return Optional.empty();
    }
    value.members().forEach((key, member) -> refuseUnknown(path, key, member, schema));
    Map<String, Object> values = new HashMap<>();
    schema.keys().values().forEach(key -> readKey(path, value, key, values));
    return Optional.of(new Section(file, path, value, values, value.members(), null));
  }

  private void refuseUnknown(String path, String key, LocatedValue member, ObjectSchema schema) {
    if (!schema.keys().containsKey(key)) {
      faults.add(
          new Fault(
              file,
              member.line(),
              member.column(),
              Paths.member(path, key),
              "unknown key \"" + key + "\"",
              "one of " + String.join(", ", schema.keys().keySet()),
              schema.nearest(key)));
    }
  }

  private void readKey(String path, LocatedValue parent, Key key, Map<String, Object> values) {
    LocatedValue given = parent.members().get(key.name());
    String where = Paths.member(path, key.name());
    if (given == null) {
      if (key.required()) {
        fault(where, parent, "the key \"" + key.name() + "\" is missing", words(key));
      } else if (key.defaultValue() != null) {
        values.put(key.name(), key.defaultValue());
      }
      return;
    }
    value(where, given, key).ifPresent(value -> values.put(key.name(), value));
  }

  private Optional<Object> value(String path, LocatedValue given, Key key) {
    return switch (key.type()) {
      case TEXT -> text(path, given, key).map(Object.class::cast);
      case INTEGER, NUMBER -> number(path, given, key);
      case BOOLEAN -> typed(path, given, key, Boolean.class).map(Object.class::cast);
      case TEXT_LIST, OBJECT_LIST -> list(path, given, key);
      case OBJECT -> section(path, given, key.members()).map(Object.class::cast);
    };
  }

  private Optional<String> text(String path, LocatedValue given, Key key) {
    Optional<String> text = typed(path, given, key, String.class);
    return text.filter(
        value -> {
          boolean right =
              !value.isEmpty() && value.length() <= key.maximum() && key.form().test().test(value);
          if (!right) {
            fault(path, given, "impossible value", words(key));
          }
          return right;
        });
  }

  private Optional<Object> number(String path, LocatedValue given, Key key) {
    Class<?> type = key.type() == Key.Type.INTEGER ? Long.class : Number.class;
    return typed(path, given, key, type)
        .filter(
            value -> {
              double number = ((Number) value).doubleValue();
              boolean right = number >= key.minimum() && number <= key.maximum();
              if (!right) {
                fault(path, given, "impossible value " + value, words(key));
              }
              return right;
            })
        .map(Object.class::cast);
  }

  private Optional<Object> list(String path, LocatedValue given, Key key) {
    if (!(given.value() instanceof List)) {
      wrongType(path, given, words(key));
      return Optional.empty();
    }
    List<LocatedValue> elements = given.elements();
    if (elements.size() < key.minimum() || elements.size() > key.maximum()) {
      fault(path, given, "impossible length " + elements.size(), words(key));
    }
    return Optional.of(
        IntStream.range(0, elements.size())
            .mapToObj(index -> element(Paths.element(path, index), elements.get(index), key))
            .flatMap(Optional::stream)
            .toList());
  }

  private Optional<Object> element(String path, LocatedValue given, Key key) {
    return key.type() == Key.Type.TEXT_LIST
        ? text(path, given, key).map(Object.class::cast)
        : section(path, given, key.members()).map(Object.class::cast);
  }

  private <T> Optional<T> typed(String path, LocatedValue given, Key key, Class<T> type) {
    if (!type.isInstance(given.value())) {
      wrongType(path, given, words(key));
      return Optional.empty();
    }
    return Optional.of(type.cast(given.value()));
  }

  private void wrongType(String path, LocatedValue given, String expected) {
    fault(path, given, "wrong type " + given.kind(), expected);
  }

  private void fault(String path, LocatedValue place, String problem, String expected) {
    faults.add(
        new Fault(file, place.line(), place.column(), path, problem, expected, Optional.empty()));
  }

  private static String words(Key key) {
    return (key.type().words() + " " + KeyLimits.words(key)).strip();
  }
}
