package dev.ibishub.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * One request of a load run, settled before it is sent.
 *
 * @param number position in the run
 * @param intendedNanos when it is due, nanoseconds after the run's start
 * @param workspace who sends it
 * @param method the HTTP method
 * @param path from the slash on
 * @param body the JSON to send, or empty for none
 * @param leaveAfter after how many chunks the caller leaves, or empty for never
 * @param idempotencyKey names a call that may not be repeated, or empty
 */
record PlannedRequest(
    int number,
    long intendedNanos,
    LoadOptions.Workspace workspace,
    String method,
    String path,
    Optional<JsonNode> body,
    OptionalInt abandonAfterChunks,
    Optional<String> idempotencyKey) {
  boolean forModel() {
    return path.startsWith("/v1/");
  }

  boolean streamed() {
    return body.map(json -> json.path("stream").asBoolean()).orElse(false);
  }

  /** The whole text that a model call must be answered with. */
  String expectedText() {
    JsonNode json = body.orElseThrow();
    return ExpectedAnswer.text(json.path("model").asText(), json);
  }
}
