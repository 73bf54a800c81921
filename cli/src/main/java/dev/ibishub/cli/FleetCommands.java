package dev.ibishub.cli;

import java.util.List;

/** The subcommands for the state of targets, orders to them and the audit of operators' actions. */
final class FleetCommands {
  /** Names of targets and zones. */
  private static final String NAME = "[A-Za-z0-9][A-Za-z0-9._-]*";

  private FleetCommands() {}

  static List<Command> all() {
    return List.of(
        new Command(
            "audit",
            "show what operators did or tried, newest first",
            parser -> {},
            invocation -> invocation.show(invocation.operatorClient().get("/admin/v1/audit"))),
        new Command(
            "status",
            "show the state of sites, groups and targets, and the evacuated zones",
            parser -> {},
            invocation -> invocation.show(invocation.operatorClient().get("/admin/v1/status"))),
        new Command(
            "drain",
            "TARGET: give it no new work and let its requests end",
            parser -> {},
            invocation -> sendOrder(invocation, "drain")),
        new Command(
            "undrain",
            "TARGET: give it work again",
            parser -> {},
            invocation -> sendOrder(invocation, "undrain")),
        new Command(
            "evacuate",
            "ZONE: send its targets no new work and let their requests end",
            parser -> {},
            invocation -> changeZone(invocation, "evacuate")),
        new Command(
            "restore",
            "ZONE: send the targets of an evacuated zone work again",
            parser -> {},
            invocation -> changeZone(invocation, "restore")));
  }

  private static ExitCode changeZone(Invocation invocation, String action) {
    String zone = invocation.argument("zone");
    if (!zone.matches(NAME)) {
      throw new CommandException(ExitCode.USAGE, "not the name of a zone: " + zone);
    }
    return invocation.show(
        invocation.operatorClient().post("/admin/v1/zones/" + zone + "/" + action, ""));
  }

  private static ExitCode sendOrder(Invocation invocation, String order) {
    String target = invocation.argument("target");
    if (!target.matches(NAME)) {
      throw new CommandException(ExitCode.USAGE, "not the id of a target: " + target);
    }
    return invocation.show(
        invocation.operatorClient().post("/admin/v1/targets/" + target + "/" + order, ""));
  }
}
