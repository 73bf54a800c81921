package dev.ibishub.administration;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import dev.ibishub.core.ConfigurationState;
import dev.ibishub.settings.ConfigurationDocument;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;

/**
 * The part of the published configuration that lists the evacuated zones. It is a part of its own,
 * so that publishing a base or an overlay from a file does not restore a zone. On the log it is the
 * overlay of a site that no base can list, as names don't start with a dot.
 */
final class EvacuatedZonesPart {
  /** The name under which the part is stored among the overlays. */
  static final String SITE = ".evacuated-zones";

  private static final String ZONES = "zones";

  private EvacuatedZonesPart() {}

  /** Returns the evacuated zones of a state; empty if none was ever evacuated. */
  static Set<String> zones(ConfigurationState state) {
    JsonNode list =
        Json.parse(state.text(SITE).getBytes(UTF_8))
            .map(root -> root.path(ZONES))
            .orElseGet(Json::array);
    return StreamSupport.stream(list.spliterator(), false)
        .map(JsonNode::asText)
        .collect(Collectors.toUnmodifiableSet());
  }

  /** Returns the text of the part. */
  static String text(Collection<String> zones) {
    ArrayNode list = Json.array();
    new TreeSet<>(zones).forEach(list::add);
    return Json.object().set(ZONES, list).toString();
  }

  /** Returns the overlays of sites, without this part. */
  static Map<String, ConfigurationDocument.Source> overlaysOfSites(ConfigurationState state) {
    return state.overlays().entrySet().stream()
        .filter(overlay -> !overlay.getKey().equals(SITE))
        .collect(
            Collectors.toMap(
                Map.Entry::getKey,
                overlay ->
                    new ConfigurationDocument.Source(
                        "overlay " + overlay.getKey(), overlay.getValue())));
  }

  /** Returns the name that operators see of this part; empty for another site's overlay. */
  static Optional<String> displayName(String site) {
    return site.equals(SITE) ? Optional.of("evacuated-zones") : Optional.empty();
  }
}
