package dev.ibishub.settings;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** Sections of the base and of one site's overlay, merged by list and name. */
final class SiteSections {
  private final Section base;
  private final Optional<Section> overlay;
  private final Consumer<Fault> faults;

  SiteSections(Section base, Optional<Section> overlay, Consumer<Fault> faults) {
    this.base = base;
    this.overlay = overlay;
    this.faults = faults;
  }

  /**
   * Merges one list: an overlay's element overrides the keys that it sets in the base's element of
   * the same name, or is added if the base has no such element.
   *
   * @param list the key of the list
   * @param nameKey the key that holds an element's name
   * @param schema the schema of an element
   * @return the elements by name, those of the base first, in the order of the texts
   */
  Map<String, Section> merged(String list, String nameKey, ObjectSchema schema) {
    Map<String, Section> merged = new LinkedHashMap<>();
    byUniqueName(base.sections(list), nameKey)
        .forEach((name, section) -> merged.put(name, section));
    overlay
        .map(root -> root.sections(list))
        .map(sections -> byUniqueName(sections, nameKey))
        .orElse(Map.of())
        .forEach(
            (name, section) ->
                merged.put(
                    name,
                    withBaseOrDefaults(section, Optional.ofNullable(merged.get(name)), schema)));
    return merged;
  }

  private Section withBaseOrDefaults(
      Section section, Optional<Section> baseSection, ObjectSchema schema) {
    if (baseSection.isPresent()) {
      return section.withFallback(baseSection.get());
    }
    schema.keys().values().stream()
        .filter(key -> key.required() && !section.isSet(key.name()))
        .map(
            key ->
                section.fault(
                    key.name(),
                    "the key \"" + key.name() + "\" is missing",
                    "a value, as the base has no such element"))
        .forEach(faults);
    return section.withFallback(Section.defaults(schema));
  }

  private Map<String, Section> byUniqueName(List<Section> sections, String nameKey) {
    Map<String, Section> byName = new LinkedHashMap<>();
    sections.forEach(
        section -> {
          if (byName.putIfAbsent(section.text(nameKey), section) != null) {
            faults.accept(section.fault(nameKey, "the name is given twice", "a unique name"));
          }
        });
    return byName;
  }
}
