package dev.ibishub.outbound;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonDeserializer;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.JsonSerializer;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Instant;

/**
 * JSON mapping of the platform's protocols: records by their component names, instants as
 * milliseconds since the epoch, bytes in base64; unknown keys are ignored. Thread-safe.
 */
public final class OutboundJson {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .addModule(
              new SimpleModule()
                  .addSerializer(Instant.class, new InstantWriter())
                  .addDeserializer(Instant.class, new InstantReader()))
          .build();

  private OutboundJson() {}

  /** Writes a value as UTF-8 JSON on one line. */
  public static byte[] write(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Reads a value from UTF-8 JSON.
   *
   * @throws IOException if the bytes are not valid JSON of that type, or are {@code null}
   */
  public static <T> T read(byte[] json, Class<T> type) throws IOException {
    T value = MAPPER.readValue(json, type);
    if (value == null) {
      throw new IOException("expected " + type.getSimpleName() + ", found null");
    }
    return value;
  }

  /**
   * Reads a value from JSON text; null for the JSON value {@code null}.
   *
   * @throws IOException if the text is not valid JSON of that type
   */
  public static <T> T read(String json, Class<T> type) throws IOException {
    return MAPPER.readValue(json, type);
  }

  /**
   * Reads a value from a JSON tree.
   *
   * @throws IOException if the tree is not of that type, or is {@code null}
   */
  public static <T> T read(JsonNode json, Class<T> type) throws IOException {
    T value = MAPPER.treeToValue(json, type);
    if (value == null) {
      throw new IOException("expected " + type.getSimpleName() + ", found null");
    }
    return value;
  }

  /**
   * Reads any JSON as a tree.
   *
   * @throws IOException if the bytes are not valid JSON
   */
  public static JsonNode readTree(byte[] json) throws IOException {
    return MAPPER.readTree(json);
  }

  private static final class InstantWriter extends JsonSerializer<Instant> {
    @Override
    public void serialize(Instant value, JsonGenerator generator, SerializerProvider provider)
        throws IOException {
      generator.writeNumber(value.toEpochMilli());
    }
  }

  private static final class InstantReader extends JsonDeserializer<Instant> {
    @Override
    public Instant deserialize(JsonParser parser, DeserializationContext context)
        throws IOException {
      return Instant.ofEpochMilli(parser.getLongValue());
    }
  }
}
