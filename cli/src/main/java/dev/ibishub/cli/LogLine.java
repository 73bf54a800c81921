package dev.ibishub.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.Optional;

/**
 * One line of a process's log.
 *
 * @param time when it was written, by that process's clock
 * @param fields all of it
 */
record LogLine(Instant time, ObjectNode fields) {
  private static final ObjectMapper JSON = new ObjectMapper();

  /** Reads a line; empty for one that is no event of a log in JSON. */
  static Optional<LogLine> read(String line) {
    try {
      JsonNode node = JSON.readTree(line);
      if (!(node instanceof ObjectNode fields) || !fields.has("event") || !fields.has("time")) {
        return Optional.empty();
      }
      return Optional.of(new LogLine(Instant.parse(fields.path("time").asText()), fields));
    } catch (JsonProcessingException | DateTimeException e) {
      // Lines of other programs stand among a log's; the caller counts them.
      return Optional.empty();
    }
  }

  String process() {
    return text("process");
  }

  String event() {
    return text("event");
  }

  String text(String field) {
    return fields.path(field).asText();
  }
}
