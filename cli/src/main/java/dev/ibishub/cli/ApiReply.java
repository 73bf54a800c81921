package dev.ibishub.cli;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * An entry's reply to a request.
 *
 * @param status HTTP status code
 * @param text the unparsed body
 * @param json the parsed body, or a missing node when it is not JSON
 */
record ApiReply(int status, String text, JsonNode json) {
  private static final int FIRST_ERROR_STATUS = 400;
  private static final int FIRST_SERVER_ERROR_STATUS = 500;

  /** Returns whether the entry answered with an error status. */
  boolean isRefusal() {
    return status >= FIRST_ERROR_STATUS;
  }

  /** Returns whether the reply is an error but the request may have taken effect. */
  boolean isOutcomeUnknown() {
    String outcome = json.path("outcome").asText();
    return isRefusal()
        && (outcome.isEmpty()
            ? status >= FIRST_SERVER_ERROR_STATUS
            : outcome.equals("outcome unknown"));
  }
}
