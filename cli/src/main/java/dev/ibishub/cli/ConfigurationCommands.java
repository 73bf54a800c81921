package dev.ibishub.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.ibishub.settings.AgentSettings;
import dev.ibishub.settings.ConfigurationDocument;
import dev.ibishub.settings.ConfigurationDocument.Source;
import dev.ibishub.settings.EntrySettings;
import dev.ibishub.settings.Fault;
import dev.ibishub.settings.SettingsException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import joptsimple.OptionParser;

/** The subcommands that validate, publish and show settings and configuration. */
final class ConfigurationCommands {
  private static final String CONFIGURATION_PATH = "/admin/v1/configuration";

  private ConfigurationCommands() {}

  static List<Command> all() {
    return List.of(
        new Command(
            "validate",
            "check a base with overlays, or settings files, without changing anything",
            ConfigurationCommands::addValidateOptions,
            ConfigurationCommands::validate),
        new Command(
            "publish",
            "publish a base, then overlays, on top of a revision",
            ConfigurationCommands::addPublishOptions,
            ConfigurationCommands::publish),
        new Command(
            "show",
            "show the configuration in force, or a past revision",
            parser -> parser.accepts("revision", "the past revision").withRequiredArg(),
            ConfigurationCommands::show),
        new Command(
            "diff",
            "show what differs between two revisions",
            parser -> {
              parser.accepts("from", "the older revision").withRequiredArg();
              parser.accepts("to", "the newer one; the one in force").withRequiredArg();
            },
            ConfigurationCommands::diff),
        new Command(
            "history",
            "show the last changes, with those that lost a race",
            parser -> {},
            invocation -> invocation.show(invocation.operatorClient().get("/admin/v1/history"))));
  }

  private static void addValidateOptions(OptionParser parser) {
    parser.accepts("base-file", "file of the base").withRequiredArg();
    parser.accepts("overlay", "file of a site's overlay, as SITE=FILE").withRequiredArg();
    parser.accepts("entry-settings", "settings file of an entry").withRequiredArg();
    parser.accepts("agent-settings", "settings file of an agent").withRequiredArg();
  }

  private static void addPublishOptions(OptionParser parser) {
    parser.accepts("base-file", "file of the base").withRequiredArg();
    parser.accepts("overlay", "file of a site's overlay, as SITE=FILE").withRequiredArg();
    parser.accepts("based-on", "the revision that you saw, 0 for none yet").withRequiredArg();
  }

  private static ExitCode validate(Invocation invocation) {
    List<Fault> faults = new ArrayList<>();
    Optional<String> base = invocation.option("base-file");
    Map<String, Path> overlays = invocation.overlays();
    Optional<String> entry = invocation.option("entry-settings");
    Optional<String> agent = invocation.option("agent-settings");
    if (base.isEmpty() && entry.isEmpty() && agent.isEmpty()) {
      throw new CommandException(
          ExitCode.USAGE, "--base-file, --entry-settings or --agent-settings is needed");
    }
    base.ifPresent(
        file -> collectFaults(faults, () -> parseDocument(invocation, Path.of(file), overlays)));
    entry.ifPresent(
        file ->
            collectFaults(
                faults, () -> EntrySettings.parse(file, invocation.readFile(Path.of(file)))));
    agent.ifPresent(
        file ->
            collectFaults(
                faults, () -> AgentSettings.parse(file, invocation.readFile(Path.of(file)))));
    return printFaults(invocation, faults);
  }

  private static void collectFaults(List<Fault> faults, Runnable check) {
    try {
      check.run();
    } catch (SettingsException e) {
      faults.addAll(e.faults());
    }
  }

  private static void parseDocument(Invocation invocation, Path base, Map<String, Path> overlays) {
    Map<String, Source> sources = new LinkedHashMap<>();
    overlays.forEach(
        (site, file) -> sources.put(site, new Source(file.toString(), invocation.readFile(file))));
    ConfigurationDocument.parse(new Source(base.toString(), invocation.readFile(base)), sources);
  }

  private static ExitCode printFaults(Invocation invocation, List<Fault> faults) {
    ObjectNode result = JsonNodeFactory.instance.objectNode().put("valid", faults.isEmpty());
    ArrayNode faultNodes = result.putArray("faults");
    faults.forEach(
        fault -> {
          ObjectNode node =
              faultNodes
                  .addObject()
                  .put("file", fault.file())
                  .put("line", fault.line())
                  .put("column", fault.column())
                  .put("path", fault.path())
                  .put("problem", fault.problem())
                  .put("expected", fault.expected());
          fault.nearestKey().ifPresent(key -> node.put("nearestKey", key));
        });
    invocation.print(result, result.toString());
    return faults.isEmpty() ? ExitCode.DONE : ExitCode.REFUSED;
  }

  private static ExitCode publish(Invocation invocation) {
    long basedOn = invocation.requiredNumber("based-on");
    Map<String, Path> parts = new LinkedHashMap<>();
    invocation.option("base-file").ifPresent(file -> parts.put("base", Path.of(file)));
    invocation.overlays().forEach((site, file) -> parts.put("overlay:" + site, file));
    if (parts.isEmpty()) {
      throw new CommandException(ExitCode.USAGE, "--base-file or --overlay is needed");
    }
    Map<String, String> texts = new LinkedHashMap<>();
    parts.forEach((kind, file) -> texts.put(kind, invocation.readFile(file)));
    ApiClient client = invocation.operatorClient();
    for (Map.Entry<String, String> part : texts.entrySet()) {
      invocation.err().println("publishing " + part.getKey() + " on revision " + basedOn);
      ApiReply reply =
          client.post(CONFIGURATION_PATH, publicationBody(part.getKey(), basedOn, part.getValue()));
      ExitCode code = invocation.show(reply);
      if (code != ExitCode.DONE) {
        return code;
      }
      basedOn = reply.json().path("revision").asLong();
    }
    return ExitCode.DONE;
  }

  private static String publicationBody(String kind, long basedOn, String content) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("kind", kind)
        .put("basedOnRevision", basedOn)
        .put("content", content)
        .toString();
  }

  private static ExitCode show(Invocation invocation) {
    String query =
        invocation.option("revision").isPresent()
            ? "?revision=" + invocation.requiredNumber("revision")
            : "";
    return invocation.show(invocation.operatorClient().get(CONFIGURATION_PATH + query));
  }

  private static ExitCode diff(Invocation invocation) {
    String query = "?from=" + invocation.requiredNumber("from");
    if (invocation.option("to").isPresent()) {
      query += "&to=" + invocation.requiredNumber("to");
    }
    return invocation.show(invocation.operatorClient().get(CONFIGURATION_PATH + "/diff" + query));
  }
}
