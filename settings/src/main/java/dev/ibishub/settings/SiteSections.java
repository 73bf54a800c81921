package dev.ibishub.settings;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** The sections of base and overlay merged for one site, by list and name. */
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
   * Merges one list: an overlay's element overrides the keys that it gives of the base's element of
   * the same name, or else stands for itself.
   *
   * @param list the key of the list
   * @param nameKey the key that names an element
   * @param schema the keys of an element
   * @return the elements by name, in the order of the files
   */
  Map<String, Section> merged(String list, String nameKey, ObjectSchema schema) {
    Map<String, Section> merged = new LinkedHashMap<>();
    unique(base.sections(list), nameKey).forEach((name, section) -> merged.put(name, section));
    overlay
        .map(over -> over.sections(list))
        .map(sections -> unique(sections, nameKey))
        .orElse(Map.of())
        .forEach(
            (name, section) ->
                merged.put(name, over(section, Optional.ofNullable(merged.get(name)), schema)));
    return merged;
  }

  private Section over(Section section, Optional<Section> below, ObjectSchema schema) {
    if (below.isPresent()) {
      return section.over(below.get());
    }
    schema.keys().values().stream()
        .filter(key -> key.required() && !section.gives(key.name()))
        .map(
            key ->
                section.fault(
                    key.name(),
                    "the key \"" + key.name() + "\" is missing",
                    "a value, as the base has no such element"))
        .forEach(faults);
    return section.over(Section.defaults(schema));
  }

  private Map<String, Section> unique(List<Section> sections, String nameKey) {
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
