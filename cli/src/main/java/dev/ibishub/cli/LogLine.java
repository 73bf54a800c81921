package dev.ibishub.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.Optional;

/**
 * One event in a process's JSON log.
 *
 * @param time when the line was written, by that process's clock
 * @param fields all fields of the line, including the time
 */
record LogLine(Instant time, ObjectNode fields) {
  private static final ObjectMapper JSON = new ObjectMapper();

  /** Parses a line; empty when it is not a JSON event with a time. */
  static Optional<LogLine> read(String line) {
    try {
      JsonNode node = JSON.readTree(line);
      if (!(node instanceof ObjectNode fields) || !fields.has("event") || !fields.has("time")) {
        return Optional.empty();
      }
      return Optional.of(new LogLine(Instant.parse(fields.path("time").asText()), fields));
    } catch (JsonProcessingException | DateTimeException e) {
      // A log may contain lines of other programs; the calling code counts them.
      return Optional.empty();
    }
  }

  String process() {
    return text("process");
  }

  String event() {
    return text("event");
  }

  /** Returns a field as text; the empty string when it is missing. */
  String text(String field) {
    return fields.path(field).asText();
  }
}
