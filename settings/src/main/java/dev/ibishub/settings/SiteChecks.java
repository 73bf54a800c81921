package dev.ibishub.settings;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Checks of one site's merged configuration that involve several sections. */
final class SiteChecks {
  private final Consumer<Fault> faults;

  SiteChecks(Consumer<Fault> faults) {
    this.faults = faults;
  }

  /** Reports keys that two workspaces share, because a caller's workspace would be ambiguous. */
  void checkKeys(Collection<Section> workspaces) {
    Map<String, String> owners = new HashMap<>();
    for (Section workspace : workspaces) {
      List<String> keys = workspace.texts("keySha256");
      for (int i = 0; i < keys.size(); i++) {
        String owner =
            owners.putIfAbsent(keys.get(i).toLowerCase(Locale.ROOT), workspace.text("name"));
        if (owner != null) {
          faults.accept(
              workspace.fault(
                  "keySha256", i, "also a key of workspace \"" + owner + "\"", "a key of its own"));
        }
      }
    }
  }

  /** Reports groups whose skew and cost weights are both 0. */
  void checkWeights(Collection<Section> groups) {
    groups.stream()
        .filter(group -> group.number("skewWeight") == 0 && group.number("costWeight") == 0)
        .map(group -> group.fault("skewWeight", "both weights are 0", "one of them above 0"))
        .forEach(faults);
  }

  /** Reports a reference to an unknown name. */
  void checkReference(Section section, String key, String kind, Set<String> known) {
    section
        .optionalText(key)
        .filter(name -> !known.contains(name))
        .ifPresent(
            name ->
                faults.accept(section.fault(key, unknownName(kind, name), expectedNames(known))));
  }

  /** Reports each reference in a list to an unknown name. */
  void checkReferences(Section section, String key, String kind, Set<String> known) {
    List<String> names = section.texts(key);
    IntStream.range(0, names.size())
        .filter(index -> !known.contains(names.get(index)))
        .forEach(
            index ->
                faults.accept(
                    section.fault(
                        key, index, unknownName(kind, names.get(index)), expectedNames(known))));
  }

  /** Checks the models, versions, adapters or service that one target serves. */
  void checkPlacement(Section placement, Map<String, Section> models, Set<String> services) {
    checkReferences(placement, "models", "model", models.keySet());
    checkReferences(placement, "versions", "version", namesOfModels(placement, models, "versions"));
    checkReferences(placement, "adapters", "adapter", namesOfModels(placement, models, "adapters"));
    checkReference(placement, "service", "service", services);
    if (placement.optionalText("service").isPresent() && !placement.texts("models").isEmpty()) {
      faults.accept(
          placement.fault("service", "both models and a service", "one of the two for a target"));
    }
  }

  private static Set<String> namesOfModels(
      Section placement, Map<String, Section> models, String key) {
    return placement.texts("models").stream()
        .filter(models::containsKey)
        .map(models::get)
        .map((Function<Section, List<String>>) model -> model.texts(key))
        .flatMap(List::stream)
        .collect(Collectors.toSet());
  }

  private static String unknownName(String kind, String name) {
    return "no " + kind + " \"" + name + "\"";
  }

  private static String expectedNames(Set<String> known) {
    String names = known.stream().sorted().limit(10).collect(Collectors.joining(", "));
    return known.isEmpty() ? "none, as there is none" : "one of " + names;
  }
}
