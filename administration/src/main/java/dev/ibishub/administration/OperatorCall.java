package dev.ibishub.administration;

import dev.ibishub.settings.OperatorSettings;
import java.util.Map;

/**
 * A call of the operator API by an operator whose token was checked.
 *
 * @param method the HTTP method
 * @param path behind {@code /admin/v1}, from the slash on
 * @param query decoded parameters
 * @param body the body, or empty
 * @param operator who calls
 */
public record OperatorCall(
    String method,
    String path,
    Map<String, String> query,
    String body,
    OperatorSettings operator) {}
