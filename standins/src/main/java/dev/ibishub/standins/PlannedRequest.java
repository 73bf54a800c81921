package dev.ibishub.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * One request of a load run, fully determined before it is sent.
 *
 * @param number position in the run, from 0
 * @param intendedNanos intended arrival, in nanoseconds after the start of the run
 * @param workspace workspace on whose behalf it is sent
 * @param method the HTTP method
 * @param path the path, with its leading slash
 * @param body the JSON to send, or empty for none
 * @param abandonAfterChunks number of chunks after which the caller abandons the answer, or empty
 *     for never
 * @param idempotencyKey idempotency key of a call that must not run twice, or empty
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

  /** Returns the text that a correct answer to this model call has. */
  String expectedText() {
    JsonNode json = body.orElseThrow();
    return ExpectedAnswer.text(json.path("model").asText(), json);
  }
}
