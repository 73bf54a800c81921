package dev.ibishub.cli;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * What an entry answered.
 *
 * @param status the HTTP status
 * @param text the body as it came
 * @param json the body, or a missing node where it is no JSON
 */
record ApiReply(int status, String text, JsonNode json) {
  private static final int FIRST_REFUSAL = 400;
  private static final int FIRST_SERVER_FAULT = 500;

  boolean isRefusal() {
    return status >= FIRST_REFUSAL;
  }

  /** Tells whether what was asked for may have happened all the same. */
  boolean isOutcomeUnknown() {
    String outcome = json.path("outcome").asText();
    return isRefusal()
        && (outcome.isEmpty() ? status >= FIRST_SERVER_FAULT : outcome.equals("outcome unknown"));
  }
}
