package dev.ibishub.standins;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The fields of an error response's problem JSON that the load tool reads.
 *
 * @param resultCode number of the result code, 0 where none was given
 * @param outcome {@code not run}, {@code outcome unknown} or {@code done}
 * @param detail explanation for people
 */
record Problem(int resultCode, String outcome, String detail) {
  static Problem of(JsonNode json) {
    return new Problem(
        json.path("resultCode").asInt(0),
        json.path("outcome").asText("outcome unknown"),
        json.path("detail").asText(""));
  }

  boolean notRun() {
    return outcome.equals("not run");
  }
}
