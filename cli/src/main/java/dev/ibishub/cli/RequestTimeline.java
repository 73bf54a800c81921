package dev.ibishub.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The log lines of one request from several processes, ordered by time. Each process's first line
 * of the request is preceded by the state that the process knew at that time: its configuration,
 * whether it was the leader, whether it could reach the store, and the last news of the targets
 * involved.
 */
final class RequestTimeline {
  /** Events that change state which a process has once, or once per topic. */
  private static final Set<String> PROCESS_STATE_EVENTS =
      Set.of("configuration.applied", "lead.taken", "lead.given_up", "store.lost", "store.back");

  /** Events that change what a process knows of one target. */
  private static final Set<String> TARGET_STATE_EVENTS =
      Set.of("target.announced", "target.gone", "target.lapsed");

  /** Fields that the text form prints in fixed columns or leaves out. */
  private static final Set<String> FIXED_FIELDS =
      Set.of("time", "level", "process", "event", "request", "belief");

  private final List<LogLine> requestLines;
  private final List<LogLine> knownState;

  private RequestTimeline(List<LogLine> requestLines, List<LogLine> knownState) {
    this.requestLines = requestLines;
    this.knownState = knownState;
  }

  /** Returns the timeline of a request; empty when no line names the request. */
  static Optional<RequestTimeline> of(String request, Collection<LogLine> lines) {
    List<LogLine> requestLines =
        lines.stream()
            .filter(line -> line.text("request").equals(request))
            .sorted(Comparator.comparing(LogLine::time))
            .toList();
    return requestLines.isEmpty()
        ? Optional.empty()
        : Optional.of(new RequestTimeline(requestLines, knownState(requestLines, lines)));
  }

  /** Returns, per process and state, the newest line before its first line of the request. */
  private static List<LogLine> knownState(List<LogLine> requestLines, Collection<LogLine> lines) {
    Set<String> targets =
        requestLines.stream().map(line -> line.text("target")).collect(Collectors.toSet());
    Map<String, LogLine> firstRequestLines =
        requestLines.stream()
            .collect(
                Collectors.toMap(
                    LogLine::process, line -> line, (first, later) -> first, LinkedHashMap::new));
    Map<String, LogLine> newestByState = new LinkedHashMap<>();
    lines.stream()
        .filter(line -> firstRequestLines.containsKey(line.process()))
        .filter(line -> line.time().isBefore(firstRequestLines.get(line.process()).time()))
        .sorted(Comparator.comparing(LogLine::time))
        .forEach(
            line ->
                stateKey(line, targets).ifPresent(stateKey -> newestByState.put(stateKey, line)));
    return List.copyOf(newestByState.values());
  }

  private static Optional<String> stateKey(LogLine line, Set<String> targets) {
    if (PROCESS_STATE_EVENTS.contains(line.event())) {
      String kind = line.event().substring(0, line.event().indexOf('.'));
      return Optional.of(line.process() + " " + kind + " " + line.text("topic"));
    }
    return TARGET_STATE_EVENTS.contains(line.event()) && targets.contains(line.text("target"))
        ? Optional.of(line.process() + " " + line.text("target"))
        : Optional.empty();
  }

  /**
   * Returns all lines by time; {@code belief} is true on those that give a process's known state.
   */
  ArrayNode toJson() {
    List<LogLine> all = new ArrayList<>(knownState);
    all.addAll(requestLines);
    ArrayNode array = JsonNodeFactory.instance.arrayNode();
    all.stream()
        .sorted(Comparator.comparing(LogLine::time))
        .map(line -> line.fields().deepCopy().put("belief", knownState.contains(line)))
        .forEach(array::add);
    return array;
  }

  /** Returns the timeline as text, one line per event; lines of known state are indented. */
  String toText() {
    return toJson()
        .valueStream()
        .map(node -> formatLine((ObjectNode) node))
        .collect(Collectors.joining("\n"));
  }

  private static String formatLine(ObjectNode fields) {
    String rest =
        fields.properties().stream()
            .filter(field -> !FIXED_FIELDS.contains(field.getKey()))
            .map(field -> field.getKey() + "=" + field.getValue().asText())
            .collect(Collectors.joining(" "));
    return (fields.path("belief").asBoolean() ? "    believed  " : "")
        + String.join(
            "  ",
            fields.path("time").asText(),
            fields.path("process").asText(),
            fields.path("event").asText(),
            rest);
  }
}
