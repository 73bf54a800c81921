package dev.ibishub.settings;

import java.util.List;
import java.util.Locale;
import java.util.function.Predicate;

/**
 * The one declaration of a key: its type, unit, default, limits and the sentence that
 * docs/CONFIGURATION.md gives for it.
 *
 * @param name the key
 * @param type the JSON type of its value
 * @param unit the unit of a number, or empty
 * @param defaultValue the value where the key is missing; null for none
 * @param required whether the key must be there
 * @param minimum the least number, or of a text the fewest characters, or of a list the fewest
 *     elements
 * @param maximum the largest number, or the most characters or elements
 * @param form a further limit on a text, or on each text of a list
 * @param members keys of the object, or of each object of the list; null for other types
 * @param sentence what the key is for
 */
record Key(
    String name,
    Type type,
    String unit,
    Object defaultValue,
    boolean required,
    double minimum,
    double maximum,
    Form form,
    ObjectSchema members,
    String sentence) {

  /** The types that a value may have. */
  enum Type {
    TEXT,
    INTEGER,
    NUMBER,
    BOOLEAN,
    TEXT_LIST,
    OBJECT,
    OBJECT_LIST;

    String words() {
      return name().toLowerCase(Locale.ROOT).replace("_list", " list").replace("object", "section");
    }
  }

  /** A limit on texts, with the words that describe it. */
  record Form(String words, Predicate<String> test) {
    static final Form ANY = new Form("", text -> true);
  }

  private static final double MAXIMUM_TEXT = 65_536;
  private static final double MAXIMUM_LIST = 100_000;

  static Key text(String name, Form form, String sentence) {
    return new Key(name, Type.TEXT, "", null, true, 1, MAXIMUM_TEXT, form, null, sentence);
  }

  static Key integer(String name, String unit, long minimum, long maximum, String sentence) {
    return new Key(
        name, Type.INTEGER, unit, null, true, minimum, maximum, Form.ANY, null, sentence);
  }

  static Key number(String name, String unit, double minimum, double maximum, String sentence) {
    return new Key(name, Type.NUMBER, unit, null, true, minimum, maximum, Form.ANY, null, sentence);
  }

  static Key flag(String name, String sentence) {
    return new Key(name, Type.BOOLEAN, "", null, true, 0, 0, Form.ANY, null, sentence);
  }

  static Key texts(String name, Form form, String sentence) {
    return new Key(
        name, Type.TEXT_LIST, "", List.of(), false, 0, MAXIMUM_LIST, form, null, sentence);
  }

  static Key section(String name, ObjectSchema members, String sentence) {
    return new Key(name, Type.OBJECT, "", null, false, 0, 0, Form.ANY, members, sentence);
  }

  static Key sections(String name, ObjectSchema members, String sentence) {
    return new Key(
        name, Type.OBJECT_LIST, "", List.of(), false, 0, MAXIMUM_LIST, Form.ANY, members, sentence);
  }

  /** Returns this key with a default. */
  Key defaultingTo(Object value) {
    return new Key(name, type, unit, value, false, minimum, maximum, form, members, sentence);
  }

  /** Returns this key as one that may be left out and then has no value. */
  Key optional() {
    return new Key(name, type, unit, null, false, minimum, maximum, form, members, sentence);
  }
}
