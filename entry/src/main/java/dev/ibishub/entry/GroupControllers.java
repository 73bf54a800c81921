package dev.ibishub.entry;

import dev.ibishub.core.Configuration;
import dev.ibishub.core.Configuration.Group;
import dev.ibishub.core.GroupLeaderOptions;
import dev.ibishub.wire.generated.Frame;
import dev.ibishub.wire.generated.GroupCommand;
import dev.ibishub.wire.generated.GroupReply;
import dev.ibishub.wire.generated.TargetReport;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/** Controllers of all groups, which this entry leads where it is elected. Thread-safe. */
final class GroupControllers {
  private static final Duration PLAN_INTERVAL = Duration.ofSeconds(5);

  private final Supplier<Configuration> configuration;
  private final TargetLinks links;
  private final Predicate<String> ownsTask;
  private final Function<Group, GroupController.Planner> plannerFactory;
  private final long processIncarnation;
  private final InstantSource clock;
  private final Map<String, GroupController> controllers = new ConcurrentHashMap<>();
  private volatile Map<String, Map<Integer, String>> targetsByGroup = Map.of();

  GroupControllers(
      Supplier<Configuration> configuration,
      TargetLinks links,
      Predicate<String> ownsTask,
      Function<Group, GroupController.Planner> plannerFactory,
      long processIncarnation,
      InstantSource clock) {
    this.configuration = configuration;
    this.links = links;
    this.ownsTask = ownsTask;
    this.plannerFactory = plannerFactory;
    this.processIncarnation = processIncarnation;
    this.clock = clock;
  }

  /** Adds and removes controllers as the configuration says, and ticks each of them. */
  void tick() {
    targetsByGroup = targetsByGroup();
    Map<String, Group> groups = configuration.get().groups();
    controllers.keySet().retainAll(groups.keySet());
    groups
        .values()
        .forEach(
            group -> controllers.computeIfAbsent(group.name(), key -> controller(group)).tick());
  }

  /** Passes a rank's reply to its group's controller; ignores other frames. */
  void onFrame(Frame frame) {
    if (frame.hasGroupReply()) {
      GroupReply reply = frame.getGroupReply();
      Optional.ofNullable(controllers.get(reply.getGroup()))
          .ifPresent(controller -> controller.onReply(reply));
    }
  }

  private GroupController controller(Group group) {
    return new GroupController(
        group.name(),
        group.ranks(),
        processIncarnation,
        GroupLeaderOptions.defaults(),
        () -> isElected(group),
        (rank, command) -> send(group.name(), rank, command),
        plannerFactory.apply(group),
        PLAN_INTERVAL,
        clock);
  }

  private boolean isElected(Group group) {
    return ranksOf(group.name()).size() == group.ranks() && ownsTask.test("group:" + group.name());
  }

  private void send(String group, int rank, GroupCommand command) {
    Optional.ofNullable(ranksOf(group).get(rank))
        .flatMap(links::link)
        .ifPresent(link -> link.offer(Frame.newBuilder().setGroupCommand(command).build()));
  }

  private Map<Integer, String> ranksOf(String group) {
    return targetsByGroup.getOrDefault(group, Map.of());
  }

  private Map<String, Map<Integer, String>> targetsByGroup() {
    return links
        .reports()
        .filter(report -> !report.getGroup().isEmpty())
        .collect(
            Collectors.groupingBy(
                TargetReport::getGroup,
                Collectors.toMap(
                    TargetReport::getRank,
                    TargetReport::getTarget,
                    // While a VM is being replaced, both the old and the new one may be linked.
                    // Taking the greater name keeps the choice stable.
                    (one, other) -> one.compareTo(other) > 0 ? one : other)));
  }
}
