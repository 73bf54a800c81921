package dev.ibishub.runtime;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import dev.ibishub.core.ResultCode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * A structured log event: a name and fields. Values are ids, numbers and codes; never secrets or
 * prompt text. Immutable.
 *
 * <pre>{@code
 * logger.atInfo().log("%s", LogEvent.of("request.finished").request(id).code(ResultCode.OK));
 * }</pre>
 */
public final class LogEvent {
  private final Map<String, String> fields;

  private LogEvent(Map<String, String> fields) {
    this.fields = fields;
  }

  /**
   * Creates an event without further fields.
   *
   * @param name dotted name, such as {@code request.finished}
   */
  public static LogEvent of(String name) {
    return new LogEvent(Map.of()).with("event", name);
  }

  /** Returns a copy of the event with one more field; replaces a field of the same key. */
  public LogEvent with(String key, Object value) {
    Map<String, String> extended = new LinkedHashMap<>(fields);
    extended.put(key, String.valueOf(value));
    return new LogEvent(extended);
  }

  /** Returns a copy of the event with the id of the request that it concerns. */
  public LogEvent request(String requestId) {
    return with("request", requestId);
  }

  /** Returns a copy of the event with a result code, as number and as name. */
  public LogEvent code(ResultCode code) {
    return with("code", code.number()).with("result", code.name());
  }

  /** Formats the fields in the log format that {@link LogSetup} was configured with. */
  @Override
  public String toString() {
    return LogSetup.isJson() ? json(fields) : keyValues(fields);
  }

  static String json(Map<String, String> fields) {
    return fields.entrySet().stream()
        .map(field -> quoted(field.getKey()) + ":" + quoted(field.getValue()))
        .collect(Collectors.joining(",", "{", "}"));
  }

  static String keyValues(Map<String, String> fields) {
    return fields.entrySet().stream()
        .map(field -> field.getKey() + "=" + quotedIfNeeded(field.getValue()))
        .collect(Collectors.joining(" "));
  }

  private static String quotedIfNeeded(String value) {
    boolean needsNoQuotes =
        !value.isEmpty() && value.chars().allMatch(c -> c > ' ' && c != '"' && c != '=' && c < 127);
    return needsNoQuotes ? value : quoted(value);
  }

  private static String quoted(String value) {
    return '"' + String.valueOf(JsonStringEncoder.getInstance().quoteAsString(value)) + '"';
  }
}
