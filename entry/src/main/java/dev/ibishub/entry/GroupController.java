package dev.ibishub.entry;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import dev.ibishub.core.GroupEpoch;
import dev.ibishub.core.GroupLeader;
import dev.ibishub.core.GroupLeader.Phase;
import dev.ibishub.core.GroupLeaderOptions;
import dev.ibishub.core.RankStatus;
import dev.ibishub.core.ResultCode;
import dev.ibishub.runtime.LogEvent;
import dev.ibishub.wire.generated.GroupCommand;
import dev.ibishub.wire.generated.GroupCommandKind;
import dev.ibishub.wire.generated.GroupReply;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * Leads one group while this entry is the one chosen to. Being chosen twice, or wrongly, costs only
 * time: the ranks obey the highest epoch. Thread-safe under one lock; commands go out outside it.
 *
 * <p>Call {@link #tick} every few milliseconds and {@link #onReply} with what the ranks answer.
 */
public final class GroupController {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final String group;
  private final int ranks;
  private final long processIncarnation;
  private final GroupLeaderOptions options;
  private final BooleanSupplier chosen;
  private final Sender sender;
  private final Planner planner;
  private final Duration planEvery;
  private final InstantSource clock;
  private GroupLeader leader;
  private long highestSeenEpoch;
  private Instant leadFrom = Instant.MIN;
  private Instant planAt = Instant.MIN;

  /** Sends a command to the agent of a rank. One that cannot be sent is dropped: it is repeated. */
  @FunctionalInterface
  public interface Sender {
    /**
     * Sends a command without waiting.
     *
     * @param rank the rank's number
     * @param command the command
     */
    void send(int rank, GroupCommand command);
  }

  /** Decides whether a group gets another map. */
  @FunctionalInterface
  public interface Planner {
    /**
     * Plans from what the ranks report.
     *
     * @param statuses the state of each rank
     * @param map the bytes of the map in use, or empty when not known
     * @param now the time
     * @return the bytes of a better map, or empty to stay with the one in use
     */
    Optional<byte[]> plan(List<RankStatus> statuses, Optional<byte[]> map, Instant now);
  }

  /**
   * Creates a controller that leads once {@code chosen} says so.
   *
   * @param group the group's name
   * @param ranks how many ranks it has
   * @param processIncarnation drawn anew at each start of this process
   * @param options times and margins
   * @param chosen whether all ranks are known and this entry is to lead
   * @param sender sends commands
   * @param planner plans maps
   * @param planEvery how often to plan
   * @param clock the time
   */
  public GroupController(
      String group,
      int ranks,
      long processIncarnation,
      GroupLeaderOptions options,
      BooleanSupplier chosen,
      Sender sender,
      Planner planner,
      Duration planEvery,
      InstantSource clock) {
    this.group = group;
    this.ranks = ranks;
    this.processIncarnation = processIncarnation;
    this.options = options;
    this.chosen = chosen;
    this.sender = sender;
    this.planner = planner;
    this.planEvery = planEvery;
    this.clock = clock;
  }

  /** Takes up or lays down the lead, plans, and sends what is due. */
  public void tick() {
    List<GroupLeader.Addressed> due = advance(clock.instant());
    due.forEach(addressed -> sender.send(addressed.rank(), toWire(addressed.command())));
  }

  /**
   * Takes a rank's answer.
   *
   * @param reply the answer; one of another group is ignored
   */
  public void onReply(GroupReply reply) {
    if (!reply.getGroup().equals(group) || reply.getRank() >= ranks || reply.getRank() < 0) {
      return;
    }
    takeReply(toCore(reply));
    tick();
  }

  /**
   * Notes an epoch heard of elsewhere, such as in a target's report.
   *
   * @param epoch the epoch
   */
  public synchronized void learnEpoch(long epoch) {
    highestSeenEpoch = Math.max(highestSeenEpoch, epoch);
  }

  /** Returns what this entry does as a leader, or empty when it does not lead. */
  public synchronized Optional<Phase> phase() {
    return Optional.ofNullable(leader).map(GroupLeader::phase);
  }

  /** Returns the version of the map in use as far as this entry leads and knows, else 0. */
  public synchronized long mapVersion() {
    return leader == null ? 0 : leader.version();
  }

  private synchronized void takeReply(dev.ibishub.core.GroupReply reply) {
    if (leader != null) {
      leader.onReply(reply, clock.instant());
      learnEpoch(leader.highestSeenEpoch());
    }
  }

  private synchronized List<GroupLeader.Addressed> advance(Instant now) {
    if (!chosen.getAsBoolean()) {
      leader = null;
      return List.of();
    }
    if (leader != null && leader.phase() == Phase.DEPOSED) {
      // Two entries that each think themselves chosen would depose each other without end; the
      // pause lets the one that is wrong learn of it.
      leader = null;
      leadFrom = now.plus(options.holdFor());
    }
    if (leader == null && !now.isBefore(leadFrom)) {
      long epoch = GroupEpoch.next(highestSeenEpoch, processIncarnation);
      highestSeenEpoch = epoch;
      leader = GroupLeader.create(group, ranks, epoch, options);
      logger.atInfo().log(
          "%s", LogEvent.of("group.lead").with("group", group).with("epoch", epoch));
    }
    if (leader == null) {
      return List.of();
    }
    plan(now);
    return leader.poll(now);
  }

  private void plan(Instant now) {
    List<RankStatus> statuses = leader.statuses();
    if (leader.phase() != Phase.READY || now.isBefore(planAt) || statuses.isEmpty()) {
      return;
    }
    planAt = now.plus(planEvery);
    planner
        .plan(statuses, leader.map(), now)
        .flatMap(leader::offer)
        .ifPresent(
            version ->
                logger.atInfo().log(
                    "%s",
                    LogEvent.of("group.switch").with("group", group).with("version", version)));
  }

  private static GroupCommand toWire(dev.ibishub.core.GroupCommand command) {
    return GroupCommand.newBuilder()
        .setGroup(command.group())
        .setGroupIncarnation(command.incarnation())
        .setEpoch(command.epoch())
        .setSequence(command.sequence())
        .setKind(GroupCommandKind.valueOf("GROUP_COMMAND_KIND_" + command.kind()))
        .setMapVersion(command.mapVersion())
        .setStep(command.step())
        .setMap(ByteString.copyFrom(command.map()))
        .build();
  }

  private static dev.ibishub.core.GroupReply toCore(GroupReply reply) {
    ResultCode code = ResultCode.ofNumber(reply.getResultCode()).orElse(ResultCode.INTERNAL);
    return new dev.ibishub.core.GroupReply(
        reply.getGroup(),
        reply.getGroupIncarnation(),
        reply.getRank(),
        reply.getEpoch(),
        reply.getSequence(),
        kindOf(reply),
        code,
        reply.getHighestEpoch(),
        tellsState(code) ? statusOf(reply) : null);
  }

  private static dev.ibishub.core.GroupCommand.Kind kindOf(GroupReply reply) {
    return reply.getKind() == GroupCommandKind.UNRECOGNIZED
            || reply.getKind() == GroupCommandKind.GROUP_COMMAND_KIND_UNSPECIFIED
        ? dev.ibishub.core.GroupCommand.Kind.PREPARE
        : dev.ibishub.core.GroupCommand.Kind.valueOf(
            reply.getKind().name().substring("GROUP_COMMAND_KIND_".length()));
  }

  // Where the engine could not be read, the reply's state is empty, not that of a fresh engine.
  private static boolean tellsState(ResultCode code) {
    return switch (code) {
      case OK, UNKNOWN_INCARNATION, STALE_EPOCH, STEP_ALREADY_PASSED, MAP_NOT_STAGED -> true;
      default -> false;
    };
  }

  private static RankStatus statusOf(GroupReply reply) {
    return new RankStatus(
        0,
        reply.getCurrentStep(),
        reply.getCurrentMapVersion(),
        reply.getStagedMapVersion(),
        reply.getHoldStep(),
        reply.getCommittedMapVersion(),
        reply.getCommittedStep(),
        reply.getCurrentMap().toByteArray(),
        reply.getExpertPopularityList(),
        reply.getStepMillis());
  }
}
