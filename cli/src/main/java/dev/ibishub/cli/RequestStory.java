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
 * The lines of one request from the logs of several processes, in order of time, each process's
 * first one after what that process believed by then: the configuration in force, whether it led,
 * whether it heard the store, and what it last heard of the targets concerned.
 */
final class RequestStory {
  private static final Set<String> SINGLE_BELIEFS =
      Set.of("configuration.applied", "lead.taken", "lead.given_up", "store.lost", "store.back");
  private static final Set<String> TARGET_BELIEFS =
      Set.of("target.announced", "target.gone", "target.lapsed");

  /** Fields that stand before the others in a line for people, or that all its lines share. */
  private static final Set<String> NAMED_APART =
      Set.of("time", "level", "process", "event", "request", "belief");

  private final List<LogLine> ofRequest;
  private final List<LogLine> beliefs;

  private RequestStory(List<LogLine> ofRequest, List<LogLine> beliefs) {
    this.ofRequest = ofRequest;
    this.beliefs = beliefs;
  }

  /** Finds the story of a request; empty when no line names it. */
  static Optional<RequestStory> of(String request, Collection<LogLine> lines) {
    List<LogLine> ofRequest =
        lines.stream()
            .filter(line -> line.text("request").equals(request))
            .sorted(Comparator.comparing(LogLine::time))
            .toList();
    return ofRequest.isEmpty()
        ? Optional.empty()
        : Optional.of(new RequestStory(ofRequest, beliefs(ofRequest, lines)));
  }

  /** The newest line of each belief of each process concerned, before its first of the request. */
  private static List<LogLine> beliefs(List<LogLine> ofRequest, Collection<LogLine> lines) {
    Set<String> targets =
        ofRequest.stream().map(line -> line.text("target")).collect(Collectors.toSet());
    Map<String, LogLine> firstOf =
        ofRequest.stream()
            .collect(
                Collectors.toMap(
                    LogLine::process, line -> line, (first, later) -> first, LinkedHashMap::new));
    Map<String, LogLine> newest = new LinkedHashMap<>();
    lines.stream()
        .filter(line -> firstOf.containsKey(line.process()))
        .filter(line -> line.time().isBefore(firstOf.get(line.process()).time()))
        .sorted(Comparator.comparing(LogLine::time))
        .forEach(line -> subject(line, targets).ifPresent(subject -> newest.put(subject, line)));
    return List.copyOf(newest.values());
  }

  private static Optional<String> subject(LogLine line, Set<String> targets) {
    if (SINGLE_BELIEFS.contains(line.event())) {
      String kind = line.event().substring(0, line.event().indexOf('.'));
      return Optional.of(line.process() + " " + kind + " " + line.text("topic"));
    }
    return TARGET_BELIEFS.contains(line.event()) && targets.contains(line.text("target"))
        ? Optional.of(line.process() + " " + line.text("target"))
        : Optional.empty();
  }

  /** Returns all lines in order, each with whether it is a belief. */
  ArrayNode toJson() {
    List<LogLine> all = new ArrayList<>(beliefs);
    all.addAll(ofRequest);
    ArrayNode array = JsonNodeFactory.instance.arrayNode();
    all.stream()
        .sorted(Comparator.comparing(LogLine::time))
        .map(line -> line.fields().deepCopy().put("belief", beliefs.contains(line)))
        .forEach(array::add);
    return array;
  }

  /** Returns the story for people, one line an event; beliefs are set back. */
  String toText() {
    return toJson()
        .valueStream()
        .map(node -> line((ObjectNode) node))
        .collect(Collectors.joining("\n"));
  }

  private static String line(ObjectNode fields) {
    String rest =
        fields.properties().stream()
            .filter(field -> !NAMED_APART.contains(field.getKey()))
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
