package dev.ibishub.administration;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.ibishub.core.ConfigurationChange;
import dev.ibishub.core.ConfigurationEvent;
import dev.ibishub.core.ConfigurationRecord;
import dev.ibishub.core.ConfigurationSnapshot;
import dev.ibishub.core.ConfigurationState;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

/**
 * Encoder and decoder of the records of the stream {@code configuration}: JSON, compressed with
 * gzip. The format must stay the same in every release, because readers of different releases must
 * reach the same verdict on a record.
 */
public final class ConfigurationCodec {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int MAXIMUM_DECODED_BYTES = 64 << 20;

  private ConfigurationCodec() {}

  /** Encodes a record. */
  public static byte[] encode(ConfigurationRecord record) {
    ObjectNode node =
        record instanceof ConfigurationChange change
            ? changeToJson(change)
            : snapshotToJson((ConfigurationSnapshot) record);
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (GZIPOutputStream gzip = new GZIPOutputStream(bytes)) {
      gzip.write(MAPPER.writeValueAsBytes(node));
    } catch (IOException e) {
      throw new UncheckedIOException("cannot encode a configuration record", e);
    }
    return bytes.toByteArray();
  }

  /**
   * Decodes a record.
   *
   * @param bytes the bytes from the log or from a peer
   * @return the record, or empty if the bytes are not a valid record
   */
  public static Optional<ConfigurationRecord> decode(byte[] bytes) {
    try (GZIPInputStream gzip = new GZIPInputStream(new ByteArrayInputStream(bytes))) {
      JsonNode node = MAPPER.readTree(new String(gzip.readNBytes(MAXIMUM_DECODED_BYTES), UTF_8));
      return switch (node.path("kind").asText()) {
        case "change" -> Optional.of(changeFromJson(node));
        case "snapshot" -> Optional.of(snapshotFromJson(node));
        default -> Optional.empty();
      };
    } catch (IOException | DateTimeException | IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  /** Decodes a snapshot that a peer sent; empty if the bytes are not a valid snapshot. */
  public static Optional<ConfigurationSnapshot> decodeSnapshot(byte[] bytes) {
    return decode(bytes)
        .filter(ConfigurationSnapshot.class::isInstance)
        .map(ConfigurationSnapshot.class::cast);
  }

  private static ObjectNode changeToJson(ConfigurationChange change) {
    return MAPPER
        .createObjectNode()
        .put("kind", "change")
        .put("recordId", change.recordId())
        .put("site", change.site())
        .put("basedOnRevision", change.basedOnRevision())
        .put("hash", change.hash())
        .put("author", change.author())
        .put("at", change.at().toString())
        .put("keptStart", change.keptStart())
        .put("keptEnd", change.keptEnd())
        .put("text", change.text());
  }

  private static ConfigurationChange changeFromJson(JsonNode node) {
    return new ConfigurationChange(
        node.path("recordId").asText(),
        node.path("site").asText(),
        node.path("basedOnRevision").asLong(),
        node.path("hash").asText(),
        node.path("author").asText(),
        Instant.parse(node.path("at").asText()),
        node.path("keptStart").asInt(),
        node.path("keptEnd").asInt(),
        node.path("text").asText());
  }

  private static ObjectNode snapshotToJson(ConfigurationSnapshot snapshot) {
    ConfigurationState state = snapshot.state();
    ObjectNode node =
        MAPPER
            .createObjectNode()
            .put("kind", "snapshot")
            .put("recordId", snapshot.recordId())
            .put("nextOffset", snapshot.nextOffset())
            .put("revision", state.revision())
            .put("base", state.base())
            .put("stateRecordId", state.recordId())
            .put("author", state.author())
            .put("at", state.at().toString())
            .put("hash", state.hash());
    ObjectNode overlays = node.putObject("overlays");
    state.overlays().forEach(overlays::put);
    ArrayNode events = node.putArray("events");
    snapshot.recentEvents().forEach(event -> events.add(eventToJson(event)));
    return node;
  }

  private static ConfigurationSnapshot snapshotFromJson(JsonNode node) {
    Map<String, String> overlays = new TreeMap<>();
    node.path("overlays")
        .properties()
        .forEach(entry -> overlays.put(entry.getKey(), entry.getValue().asText()));
    ConfigurationState state =
        new ConfigurationState(
            node.path("revision").asLong(),
            node.path("base").asText(),
            new TreeMap<>(overlays),
            node.path("stateRecordId").asText(),
            node.path("author").asText(),
            Instant.parse(node.path("at").asText()),
            node.path("hash").asText());
    List<ConfigurationEvent> events = new ArrayList<>();
    node.path("events").forEach(event -> events.add(eventFromJson(event)));
    return new ConfigurationSnapshot(
        node.path("recordId").asText(), node.path("nextOffset").asLong(), state, events);
  }

  private static ObjectNode eventToJson(ConfigurationEvent event) {
    return MAPPER
        .createObjectNode()
        .put("offset", event.offset())
        .put("recordId", event.recordId())
        .put("site", event.site())
        .put("author", event.author())
        .put("at", event.at().toString())
        .put("basedOnRevision", event.basedOnRevision())
        .put("result", event.result().name())
        .put("revision", event.revision())
        .put("detail", event.detail());
  }

  private static ConfigurationEvent eventFromJson(JsonNode node) {
    return new ConfigurationEvent(
        node.path("offset").asLong(),
        node.path("recordId").asText(),
        node.path("site").asText(),
        node.path("author").asText(),
        Instant.parse(node.path("at").asText()),
        node.path("basedOnRevision").asLong(),
        ConfigurationEvent.Result.valueOf(node.path("result").asText()),
        node.path("revision").asLong(),
        node.path("detail").asText());
  }
}
