package dev.ibishub.standins;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * What problem JSON says.
 *
 * @param resultCode number of the result code, 0 where none was given
 * @param outcome {@code not run}, {@code outcome unknown} or {@code done}
 * @param detail for people
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
