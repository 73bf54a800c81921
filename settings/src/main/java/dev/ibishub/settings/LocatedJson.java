package dev.ibishub.settings;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

/** Parser of JSON with comments into values with their line and column. */
final class LocatedJson {
  private static final JsonFactory FACTORY =
      JsonFactory.builder().enable(JsonReadFeature.ALLOW_JAVA_COMMENTS).build();

  /**
   * Location in a message of Jackson, with a description of the source that carries no information.
   */
  private static final Pattern SOURCE_LOCATION =
      Pattern.compile("\\[Source:[^;]*; (line: [^\\]]*)\\]");

  private final String file;
  private final JsonParser parser;
  private final List<Fault> faults;

  private LocatedJson(String file, JsonParser parser, List<Fault> faults) {
    this.file = file;
    this.parser = parser;
    this.faults = faults;
  }

  /**
   * Parses a whole text.
   *
   * @param file the name of the text in faults
   * @param text JSON with comments
   * @param faults receives duplicate keys, content after the end, or the first syntax error
   * @return the root, or empty if the text is not valid JSON
   */
  static Optional<LocatedValue> parse(String file, String text, List<Fault> faults) {
    try (JsonParser parser = FACTORY.createParser(text)) {
      LocatedJson reader = new LocatedJson(file, parser, faults);
      if (parser.nextToken() == null) {
        faults.add(new Fault(file, 1, 1, "", "no content", "a JSON object", Optional.empty()));
        return Optional.empty();
      }
      LocatedValue root = reader.value("");
      if (parser.nextToken() != null) {
        reader.addFault(parser.currentTokenLocation(), "", "content after the end", "one object");
      }
      return Optional.of(root);
    } catch (JsonProcessingException e) {
      JsonLocation location = e.getLocation();
      faults.add(
          new Fault(
              file,
              location.getLineNr(),
              location.getColumnNr(),
              "",
              "not JSON: " + SOURCE_LOCATION.matcher(e.getOriginalMessage()).replaceAll("$1"),
              "JSON with // or /* */ comments",
              Optional.empty()));
      return Optional.empty();
    } catch (IOException e) {
      throw new IllegalStateException("reading from memory failed", e);
    }
  }

  private LocatedValue value(String path) throws IOException {
    JsonLocation location = parser.currentTokenLocation();
    Object value =
        switch (parser.currentToken()) {
          case START_OBJECT -> object(path);
          case START_ARRAY -> list(path);
          case VALUE_STRING -> parser.getText();
          case VALUE_NUMBER_INT -> integer();
          case VALUE_NUMBER_FLOAT -> parser.getDoubleValue();
          case VALUE_TRUE -> true;
          case VALUE_FALSE -> false;
          default -> null;
        };
    return new LocatedValue(value, location.getLineNr(), location.getColumnNr());
  }

  private Object integer() throws IOException {
    return parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER
        ? (Object) parser.getDoubleValue()
        : (Object) parser.getLongValue();
  }

  private Map<String, LocatedValue> object(String path) throws IOException {
    Map<String, LocatedValue> members = new LinkedHashMap<>();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String key = parser.currentName();
      JsonLocation location = parser.currentTokenLocation();
      String member = ValuePaths.member(path, key);
      parser.nextToken();
      LocatedValue value = value(member);
      if (members.putIfAbsent(key, value) != null) {
        addFault(location, member, "the key is given twice", "each key once");
      }
    }
    return members;
  }

  private List<LocatedValue> list(String path) throws IOException {
    List<LocatedValue> elements = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      elements.add(value(ValuePaths.element(path, elements.size())));
    }
    return elements;
  }

  private void addFault(JsonLocation location, String path, String problem, String expected) {
    faults.add(
        new Fault(
            file,
            location.getLineNr(),
            location.getColumnNr(),
            path,
            problem,
            expected,
            Optional.empty()));
  }
}
