package dev.ibishub.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;

/** Reader that checks a text against a schema and collects all faults. Not thread-safe. */
final class SchemaReader {
  private final String file;
  private final List<Fault> faults = new ArrayList<>();

  private SchemaReader(String file) {
    this.file = file;
  }

  /**
   * Parses and checks a text.
   *
   * @param file the name of the text in faults
   * @param text JSON with comments
   * @param schema the allowed keys
   * @param faults receives all faults
   * @return the validated root, or empty if there were faults
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
      addTypeFault(path, value, "a section in { }");
      return Optional.empty();
    }
    value.members().forEach((key, member) -> rejectUnknownKey(path, key, member, schema));
    Map<String, Object> values = new HashMap<>();
    schema.keys().values().forEach(key -> readKey(path, value, key, values));
    return Optional.of(new Section(file, path, value, values, value.members(), null));
  }

  private void rejectUnknownKey(String path, String key, LocatedValue member, ObjectSchema schema) {
    if (!schema.keys().containsKey(key)) {
      faults.add(
          new Fault(
              file,
              member.line(),
              member.column(),
              ValuePaths.member(path, key),
              "unknown key \"" + key + "\"",
              "one of " + String.join(", ", schema.keys().keySet()),
              schema.nearestKey(key)));
    }
  }

  private void readKey(String path, LocatedValue parent, Key key, Map<String, Object> values) {
    LocatedValue given = parent.members().get(key.name());
    String keyPath = ValuePaths.member(path, key.name());
    if (given == null) {
      if (key.required()) {
        addFault(keyPath, parent, "the key \"" + key.name() + "\" is missing", expectedValue(key));
      } else if (key.defaultValue() != null) {
        values.put(key.name(), key.defaultValue());
      }
      return;
    }
    value(keyPath, given, key).ifPresent(value -> values.put(key.name(), value));
  }

  private Optional<Object> value(String path, LocatedValue given, Key key) {
    return switch (key.type()) {
      case TEXT -> text(path, given, key).map(Object.class::cast);
      case INTEGER, NUMBER -> number(path, given, key);
      case BOOLEAN -> castOrAddFault(path, given, key, Boolean.class).map(Object.class::cast);
      case TEXT_LIST, OBJECT_LIST -> list(path, given, key);
      case OBJECT -> section(path, given, key.members()).map(Object.class::cast);
    };
  }

  private Optional<String> text(String path, LocatedValue given, Key key) {
    Optional<String> text = castOrAddFault(path, given, key, String.class);
    return text.filter(
        value -> {
          boolean isValid =
              !value.isEmpty()
                  && value.length() <= key.maximum()
                  && key.format().test().test(value);
          if (!isValid) {
            addFault(path, given, "impossible value", expectedValue(key));
          }
          return isValid;
        });
  }

  private Optional<Object> number(String path, LocatedValue given, Key key) {
    Class<?> type = key.type() == Key.Type.INTEGER ? Long.class : Number.class;
    return castOrAddFault(path, given, key, type)
        .filter(
            value -> {
              double number = ((Number) value).doubleValue();
              boolean isValid = number >= key.minimum() && number <= key.maximum();
              if (!isValid) {
                addFault(path, given, "impossible value " + value, expectedValue(key));
              }
              return isValid;
            })
        .map(Object.class::cast);
  }

  private Optional<Object> list(String path, LocatedValue given, Key key) {
    if (!(given.value() instanceof List)) {
      addTypeFault(path, given, expectedValue(key));
      return Optional.empty();
    }
    List<LocatedValue> elements = given.elements();
    if (elements.size() < key.minimum() || elements.size() > key.maximum()) {
      addFault(path, given, "impossible length " + elements.size(), expectedValue(key));
    }
    return Optional.of(
        IntStream.range(0, elements.size())
            .mapToObj(index -> element(ValuePaths.element(path, index), elements.get(index), key))
            .flatMap(Optional::stream)
            .toList());
  }

  private Optional<Object> element(String path, LocatedValue given, Key key) {
    return key.type() == Key.Type.TEXT_LIST
        ? text(path, given, key).map(Object.class::cast)
        : section(path, given, key.members()).map(Object.class::cast);
  }

  private <T> Optional<T> castOrAddFault(String path, LocatedValue given, Key key, Class<T> type) {
    if (!type.isInstance(given.value())) {
      addTypeFault(path, given, expectedValue(key));
      return Optional.empty();
    }
    return Optional.of(type.cast(given.value()));
  }

  private void addTypeFault(String path, LocatedValue given, String expected) {
    addFault(path, given, "wrong type " + given.typeName(), expected);
  }

  private void addFault(String path, LocatedValue location, String problem, String expected) {
    faults.add(
        new Fault(
            file, location.line(), location.column(), path, problem, expected, Optional.empty()));
  }

  private static String expectedValue(Key key) {
    return (key.type().description() + " " + KeyLimits.describe(key)).strip();
  }
}
