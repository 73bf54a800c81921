package dev.ibishub.settings;

import dev.ibishub.core.Configuration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Validated base configuration with the overlays of its sites. Immutable, so thread-safe.
 *
 * <p>Example: {@code ConfigurationDocument.parse(base, overlays).merged(revision, "tbilisi")}.
 */
public final class ConfigurationDocument {
  private final Section base;
  private final Map<String, Section> overlays;

  private ConfigurationDocument(Section base, Map<String, Section> overlays) {
    this.base = base;
    this.overlays = Map.copyOf(overlays);
  }

  /**
   * Text with the name that identifies it in faults.
   *
   * @param file the name, such as the path of a file
   * @param text JSON with comments
   */
  public record Source(String file, String text) {}

  /**
   * Parses and validates a base with its overlays.
   *
   * @param base the text of the base
   * @param overlays the texts of the overlays by the name of their site
   * @return the validated document
   * @throws SettingsException with all faults of all the texts
   */
  public static ConfigurationDocument parse(Source base, Map<String, Source> overlays) {
    List<Fault> faults = new ArrayList<>();
    Optional<Section> baseRoot =
        SchemaReader.read(base.file(), base.text(), PublishedKeys.BASE, faults);
    Map<String, Section> overlayRoots = new LinkedHashMap<>();
    overlays.forEach(
        (site, source) ->
            SchemaReader.read(source.file(), source.text(), PublishedKeys.OVERLAY, faults)
                .ifPresent(root -> overlayRoots.put(site, root)));
    Set<Fault> crossFaults = new LinkedHashSet<>();
    baseRoot.ifPresent(root -> check(root, overlayRoots, crossFaults::add));
    faults.addAll(crossFaults);
    if (!faults.isEmpty()) {
      throw new SettingsException(faults);
    }
    return new ConfigurationDocument(baseRoot.orElseThrow(), overlayRoots);
  }

  /** Returns the names of the sites that the base lists. */
  public List<String> sites() {
    return base.sections("sites").stream().map(site -> site.text("name")).toList();
  }

  /**
   * Merges a site's overlay into the base.
   *
   * @param revision the revision number of the result
   * @param site the site; without an overlay, the base applies unchanged
   * @return the configuration of the site
   */
  public Configuration merged(long revision, String site) {
    Optional<Section> overlay = Optional.ofNullable(overlays.get(site));
    SiteSections sections = new SiteSections(base, overlay, fault -> {});
    Map<String, Configuration.Workspace> workspaces =
        servedOnly(
            sections.merged("workspaces", "name", PublishedKeys.WORKSPACE),
            overlay,
            "servedWorkspaces",
            ConfigurationDocument::workspace);
    Map<String, Configuration.Model> models =
        servedOnly(
            sections.merged("models", "name", PublishedKeys.MODEL),
            overlay,
            "servedModels",
            ConfigurationDocument::model);
    return new Configuration(
        revision,
        site,
        zones(site),
        workspaces,
        models,
        convertAll(
            sections.merged("groups", "name", PublishedKeys.GROUP), ConfigurationDocument::group),
        convertAll(
            sections.merged("services", "name", PublishedKeys.SERVICE),
            ConfigurationDocument::service),
        convertAll(
            sections.merged("placements", "target", PublishedKeys.PLACEMENT),
            ConfigurationDocument::placement));
  }

  private static void check(Section base, Map<String, Section> overlays, Consumer<Fault> faults) {
    checkSites(base, overlays, faults);
    checkSite(base, Optional.empty(), faults);
    overlays.values().forEach(overlay -> checkSite(base, Optional.of(overlay), faults));
  }

  private static void checkSites(
      Section base, Map<String, Section> overlays, Consumer<Fault> faults) {
    Map<String, String> siteOfZone = new HashMap<>();
    Set<String> names = new LinkedHashSet<>();
    for (Section site : base.sections("sites")) {
      if (!names.add(site.text("name"))) {
        faults.accept(site.fault("name", "the name is given twice", "a unique name"));
      }
      List<String> zones = site.texts("zones");
      for (int i = 0; i < zones.size(); i++) {
        if (siteOfZone.putIfAbsent(zones.get(i), site.text("name")) != null) {
          faults.accept(site.fault("zones", i, "the zone is given twice", "a unique zone"));
        }
      }
    }
    overlays.forEach(
        (name, overlay) -> {
          if (!names.contains(name)) {
            faults.accept(
                new Fault(
                    overlay.file(),
                    1,
                    1,
                    "",
                    "the base has no site \"" + name + "\"",
                    names.isEmpty() ? "a site in the base" : "one of " + String.join(", ", names),
                    Optional.empty()));
          }
        });
  }

  private static void checkSite(Section base, Optional<Section> overlay, Consumer<Fault> faults) {
    SiteSections sections = new SiteSections(base, overlay, faults);
    SiteChecks checks = new SiteChecks(faults);
    Map<String, Section> workspaces =
        sections.merged("workspaces", "name", PublishedKeys.WORKSPACE);
    Map<String, Section> models = sections.merged("models", "name", PublishedKeys.MODEL);
    Map<String, Section> groups = sections.merged("groups", "name", PublishedKeys.GROUP);
    Map<String, Section> services = sections.merged("services", "name", PublishedKeys.SERVICE);
    checks.checkKeys(workspaces.values());
    checks.checkWeights(groups.values());
    models
        .values()
        .forEach(model -> checks.checkReference(model, "group", "group", groups.keySet()));
    sections
        .merged("placements", "target", PublishedKeys.PLACEMENT)
        .values()
        .forEach(placement -> checks.checkPlacement(placement, models, services.keySet()));
    overlay.ifPresent(
        overlaySection -> {
          if (overlaySection.isSet("servedWorkspaces")) {
            checks.checkReferences(
                overlaySection, "servedWorkspaces", "workspace", workspaces.keySet());
          }
          if (overlaySection.isSet("servedModels")) {
            checks.checkReferences(overlaySection, "servedModels", "model", models.keySet());
          }
        });
  }

  private List<String> zones(String site) {
    return base.sections("sites").stream()
        .filter(section -> section.text("name").equals(site))
        .flatMap(section -> section.texts("zones").stream())
        .toList();
  }

  private static <T> Map<String, T> servedOnly(
      Map<String, Section> sections,
      Optional<Section> overlay,
      String key,
      Function<Section, T> convert) {
    Map<String, T> all = convertAll(sections, convert);
    return overlay
        .filter(overlaySection -> overlaySection.isSet(key))
        .map(overlaySection -> selectNamed(all, overlaySection.texts(key)))
        .orElse(all);
  }

  private static <T> Map<String, T> selectNamed(Map<String, T> all, Collection<String> names) {
    return names.stream().distinct().collect(Collectors.toMap(Function.identity(), all::get));
  }

  private static <T> Map<String, T> convertAll(
      Map<String, Section> sections, Function<Section, T> convert) {
    return sections.entrySet().stream()
        .collect(Collectors.toMap(Map.Entry::getKey, entry -> convert.apply(entry.getValue())));
  }

  private static Configuration.Workspace workspace(Section section) {
    return new Configuration.Workspace(
        section.text("name"),
        section.texts("keySha256").stream()
            .map(key -> key.toLowerCase(Locale.ROOT))
            .collect(Collectors.toSet()),
        section.number("weight"),
        section.number("requestsPerSecond"),
        section.number("tokensPerSecond"),
        section.integer("maximumConcurrent"),
        section.integer("priority"));
  }

  private static Configuration.Model model(Section section) {
    return new Configuration.Model(
        section.text("name"),
        section.texts("versions"),
        section.texts("adapters"),
        section.optionalText("group"));
  }

  private static Configuration.Group group(Section section) {
    return new Configuration.Group(
        section.text("name"),
        section.integer("ranks"),
        section.integer("experts"),
        section.integer("layers"),
        section.longInteger("expertBytes"),
        section.number("skewWeight"),
        section.number("costWeight"));
  }

  private static Configuration.Service service(Section section) {
    return new Configuration.Service(
        section.text("name"),
        section.sections("unrepeatableCalls").stream()
            .map(call -> Configuration.UnrepeatableCall.of(call.text("method"), call.text("path")))
            .toList());
  }

  private static Configuration.Placement placement(Section section) {
    return new Configuration.Placement(
        section.text("target"),
        section.texts("models"),
        section.texts("versions"),
        section.texts("adapters"),
        section.optionalText("service"));
  }
}
