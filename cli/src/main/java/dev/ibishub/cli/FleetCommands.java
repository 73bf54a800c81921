package dev.ibishub.cli;

import java.util.List;

/** The subcommands for the state of targets, orders to them and the audit of operators' actions. */
final class FleetCommands {
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
            "show the state of sites, groups and targets",
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
            invocation -> sendOrder(invocation, "undrain")));
  }

  private static ExitCode sendOrder(Invocation invocation, String order) {
    String target = invocation.argument("target");
    if (!target.matches("[A-Za-z0-9][A-Za-z0-9._-]*")) {
      throw new CommandException(ExitCode.USAGE, "not the id of a target: " + target);
    }
    return invocation.show(
        invocation.operatorClient().post("/admin/v1/targets/" + target + "/" + order, ""));
  }
}
