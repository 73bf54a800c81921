package dev.ibishub.administration;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import dev.ibishub.core.ConfigurationState;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.TreeSet;
import java.util.stream.IntStream;

/**
 * Difference between two revisions of the configuration, by part (base or overlay) and then by
 * path. A path identifies a list element by its name, or by its index if it has none.
 */
final class ConfigurationDifference {
  private final ArrayNode changes = Json.array();

  private ConfigurationDifference() {}

  /**
   * Compares two revisions.
   *
   * @return one object for each changed value, with {@code part}, {@code path}, and the old value
   *     {@code from} and the new value {@code to} where they exist
   */
  static ArrayNode between(ConfigurationState from, ConfigurationState to) {
    ConfigurationDifference difference = new ConfigurationDifference();
    difference.compare("base", from.base(), to.base());
    TreeSet<String> sites = new TreeSet<>(from.overlays().keySet());
    sites.addAll(to.overlays().keySet());
    sites.forEach(
        site ->
            difference.compare(
                EvacuatedZonesPart.displayName(site).orElse("overlay:" + site),
                from.text(site),
                to.text(site)));
    return difference.changes;
  }

  private void compare(String part, String from, String to) {
    Map<String, JsonNode> before = leafValues(from);
    Map<String, JsonNode> after = leafValues(to);
    TreeSet<String> paths = new TreeSet<>(before.keySet());
    paths.addAll(after.keySet());
    paths.stream()
        .filter(path -> !Objects.equals(before.get(path), after.get(path)))
        .forEach(path -> add(part, path, before.get(path), after.get(path)));
  }

  private void add(String part, String path, JsonNode from, JsonNode to) {
    var change = changes.addObject().put("part", part).put("path", path);
    if (from != null) {
      change.set("from", from);
    }
    if (to != null) {
      change.set("to", to);
    }
  }

  private static Map<String, JsonNode> leafValues(String text) {
    Map<String, JsonNode> leafValues = new LinkedHashMap<>();
    Json.parse(text.getBytes(UTF_8)).ifPresent(root -> collectLeaves("", root, leafValues));
    return leafValues;
  }

  private static void collectLeaves(String path, JsonNode node, Map<String, JsonNode> leafValues) {
    if (node.isObject() && !node.isEmpty()) {
      node.properties()
          .forEach(
              entry ->
                  collectLeaves(
                      path.isEmpty() ? entry.getKey() : path + "." + entry.getKey(),
                      entry.getValue(),
                      leafValues));
    } else if (node.isArray() && !node.isEmpty() && node.get(0).isObject()) {
      IntStream.range(0, node.size())
          .forEach(
              index ->
                  collectLeaves(
                      path + "[" + elementName(node.get(index), index) + "]",
                      node.get(index),
                      leafValues));
    } else {
      leafValues.put(path, node);
    }
  }

  private static String elementName(JsonNode element, int index) {
    JsonNode name =
        element.path("name").isTextual() ? element.path("name") : element.path("target");
    return name.isTextual() ? name.asText() : Integer.toString(index);
  }
}
