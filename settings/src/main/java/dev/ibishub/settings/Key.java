package dev.ibishub.settings;

import java.util.List;
import java.util.Locale;
import java.util.function.Predicate;

/**
 * Declaration of a key: its type, unit, default, limits and its description in
 * docs/CONFIGURATION.md.
 *
 * @param name the key
 * @param type the JSON type of its value
 * @param unit the unit of a number, or empty
 * @param defaultValue the value if the key is missing; null for none
 * @param required whether the key must be present
 * @param minimum the smallest number, the minimum length of a text in characters, or the minimum
 *     number of list elements
 * @param maximum the largest number, or the maximum number of characters or elements
 * @param format the required format of a text, or of each text of a list
 * @param members the keys of the object, or of each object of the list; null for other types
 * @param description the purpose of the key, a full sentence
 */
record Key(
    String name,
    Type type,
    String unit,
    Object defaultValue,
    boolean required,
    double minimum,
    double maximum,
    TextFormat format,
    ObjectSchema members,
    String description) {

  /** Type of a value. */
  enum Type {
    TEXT,
    INTEGER,
    NUMBER,
    BOOLEAN,
    TEXT_LIST,
    OBJECT,
    OBJECT_LIST;

    String description() {
      return name().toLowerCase(Locale.ROOT).replace("_list", " list").replace("object", "section");
    }
  }

  /** Format of a text, with the description that faults show. */
  record TextFormat(String description, Predicate<String> test) {
    static final TextFormat ANY = new TextFormat("", text -> true);
  }

  private static final double MAXIMUM_TEXT = 65_536;
  private static final double MAXIMUM_LIST = 100_000;

  static Key text(String name, TextFormat format, String description) {
    return new Key(name, Type.TEXT, "", null, true, 1, MAXIMUM_TEXT, format, null, description);
  }

  static Key integer(String name, String unit, long minimum, long maximum, String description) {
    return new Key(
        name, Type.INTEGER, unit, null, true, minimum, maximum, TextFormat.ANY, null, description);
  }

  static Key number(String name, String unit, double minimum, double maximum, String description) {
    return new Key(
        name, Type.NUMBER, unit, null, true, minimum, maximum, TextFormat.ANY, null, description);
  }

  static Key flag(String name, String description) {
    return new Key(name, Type.BOOLEAN, "", null, true, 0, 0, TextFormat.ANY, null, description);
  }

  static Key texts(String name, TextFormat format, String description) {
    return new Key(
        name, Type.TEXT_LIST, "", List.of(), false, 0, MAXIMUM_LIST, format, null, description);
  }

  static Key section(String name, ObjectSchema members, String description) {
    return new Key(name, Type.OBJECT, "", null, false, 0, 0, TextFormat.ANY, members, description);
  }

  static Key sections(String name, ObjectSchema members, String description) {
    return new Key(
        name,
        Type.OBJECT_LIST,
        "",
        List.of(),
        false,
        0,
        MAXIMUM_LIST,
        TextFormat.ANY,
        members,
        description);
  }

  /** Returns this key with a default. */
  Key defaultingTo(Object value) {
    return new Key(name, type, unit, value, false, minimum, maximum, format, members, description);
  }

  /** Returns this key as an optional one without a default. */
  Key optional() {
    return new Key(name, type, unit, null, false, minimum, maximum, format, members, description);
  }
}
