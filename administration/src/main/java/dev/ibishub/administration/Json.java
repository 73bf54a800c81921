package dev.ibishub.administration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Optional;

/** Factory and parser of JSON trees for log records and the operator API. */
final class Json {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder().enable(JsonReadFeature.ALLOW_JAVA_COMMENTS).build();

  private Json() {}

  static ObjectNode object() {
    return MAPPER.createObjectNode();
  }

  static ArrayNode array() {
    return MAPPER.createArrayNode();
  }

  static byte[] bytes(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot serialize a JSON tree", e);
    }
  }

  /** Parses a JSON value; empty if the bytes are not valid JSON. */
  static Optional<JsonNode> parse(byte[] bytes) {
    try {
      return Optional.of(MAPPER.readTree(bytes)).filter(node -> !node.isMissingNode());
    } catch (IOException e) {
      return Optional.empty();
    }
  }
}
