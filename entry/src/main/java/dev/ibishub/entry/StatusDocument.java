package dev.ibishub.entry;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.ibishub.administration.ConfigurationFollower;
import dev.ibishub.core.Configuration;
import dev.ibishub.core.MemberRecord;
import dev.ibishub.core.MemberRole;
import dev.ibishub.core.Membership;
import dev.ibishub.wire.generated.TargetReport;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.Locale;

/** Status of the site, its entries and its targets as JSON, as seen by this entry. Thread-safe. */
final class StatusDocument {
  private final ConfigurationFollower configuration;
  private final Membership membership;
  private final TargetLinks targets;
  private final InstantSource clock;

  StatusDocument(
      ConfigurationFollower configuration,
      Membership membership,
      TargetLinks targets,
      InstantSource clock) {
    this.configuration = configuration;
    this.membership = membership;
    this.targets = targets;
    this.clock = clock;
  }

  String json() {
    Configuration current = configuration.current();
    ObjectNode status = JsonNodeFactory.instance.objectNode();
    status.put("entry", membership.self().id());
    status.put("site", current.site());
    status.put("revision", current.revision());
    status.put("configurationKnown", configuration.isKnown());
    ArrayNode zones = status.putArray("evacuatedZones");
    configuration.evacuatedZones().stream().sorted().forEach(zones::add);
    ArrayNode entries = status.putArray("entries");
    addEntry(entries, membership.self());
    membership.digest(clock.instant()).stream()
        .filter(member -> member.role() == MemberRole.ENTRY)
        .filter(member -> !member.id().equals(membership.self().id()))
        .forEach(member -> addEntry(entries, member));
    ArrayNode list = status.putArray("targets");
    targets
        .reports()
        .sorted(Comparator.comparing(TargetReport::getTarget))
        .forEach(report -> addTarget(list, report));
    return status.toString();
  }

  private static void addEntry(ArrayNode list, MemberRecord member) {
    list.addObject()
        .put("entry", member.id())
        .put("zone", member.zone())
        .put("state", member.state().name().toLowerCase(Locale.ROOT))
        .put("load", member.load());
  }

  private void addTarget(ArrayNode list, TargetReport report) {
    list.addObject()
        .put("target", report.getTarget())
        .put("zone", report.getZone())
        .put("state", state(report))
        .put("queued", report.getQueued())
        .put("running", report.getRunning())
        .put("limit", report.getLimit())
        .put("group", report.getGroup())
        .put("served", String.join(" ", report.getServedList()));
  }

  private String state(TargetReport report) {
    if (report.getLeaving()) {
      return "leaving";
    }
    if (configuration.evacuatedZones().contains(report.getZone())) {
      return "evacuated";
    }
    return report.getEngineReachable() ? "serving" : "unreachable";
  }
}
