package dev.ibishub.administration;

import dev.ibishub.settings.OperatorSettings;
import java.util.Map;

/**
 * Call of the operator API by an authenticated operator.
 *
 * @param method the HTTP method
 * @param path the path after {@code /admin/v1}, with its leading slash
 * @param query the decoded query parameters
 * @param body the request body, empty if there is none
 * @param operator the authenticated operator
 */
public record OperatorCall(
    String method,
    String path,
    Map<String, String> query,
    String body,
    OperatorSettings operator) {}
