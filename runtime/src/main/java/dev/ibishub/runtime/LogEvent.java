package dev.ibishub.runtime;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import dev.ibishub.core.ResultCode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * One event for the log: a name and fields. Values are ids, numbers and codes; secrets and prompt
 * text never go in. Immutable.
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
   * Starts an event.
   *
   * @param name words with dots, such as {@code request.finished}
   */
  public static LogEvent of(String name) {
    return new LogEvent(Map.of()).with("event", name);
  }

  /** Returns the event with one more field. */
  public LogEvent with(String key, Object value) {
    Map<String, String> more = new LinkedHashMap<>(fields);
    more.put(key, String.valueOf(value));
    return new LogEvent(more);
  }

  /** Returns the event with the id of the request that it belongs to. */
  public LogEvent request(String requestId) {
    return with("request", requestId);
  }

  /** Returns the event with a result code, as number and name. */
  public LogEvent code(ResultCode code) {
    return with("code", code.number()).with("result", code.name());
  }

  /** Returns the fields in the form that {@link LogSetup} was given. */
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
        .map(field -> field.getKey() + "=" + bareOrQuoted(field.getValue()))
        .collect(Collectors.joining(" "));
  }

  private static String bareOrQuoted(String value) {
    boolean bare =
        !value.isEmpty() && value.chars().allMatch(c -> c > ' ' && c != '"' && c != '=' && c < 127);
    return bare ? value : quoted(value);
  }

  private static String quoted(String value) {
    return '"' + String.valueOf(JsonStringEncoder.getInstance().quoteAsString(value)) + '"';
  }
}
