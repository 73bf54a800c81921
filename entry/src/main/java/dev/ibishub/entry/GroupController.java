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
 * Leads one model group while this entry is elected for it, behind ibishub's own interface. Two
 * entries that lead at once, or the wrong one, cost only time: the ranks obey the highest epoch.
 * Thread-safe under one lock; commands are sent outside of it.
 *
 * <p>Call {@link #tick} every few milliseconds and {@link #onReply} with the ranks' replies.
 */
public final class GroupController {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final String group;
  private final int ranks;
  private final long processIncarnation;
  private final GroupLeaderOptions options;
  private final BooleanSupplier elected;
  private final Sender sender;
  private final Planner planner;
  private final Duration planInterval;
  private final InstantSource clock;
  private GroupLeader leader;
  private long highestSeenEpoch;
  private Instant earliestLeadAt = Instant.MIN;
  private Instant nextPlanAt = Instant.MIN;

  /**
   * Sends a command to the agent of a rank. A command that cannot be sent is dropped, because the
   * leader repeats it.
   */
  @FunctionalInterface
  public interface Sender {
    /**
     * Sends a command without blocking.
     *
     * @param rank the rank's number
     * @param command the command
     */
    void send(int rank, GroupCommand command);
  }

  /** Decides whether a group gets a new expert map. */
  @FunctionalInterface
  public interface Planner {
    /**
     * Plans the next map from the ranks' statuses.
     *
     * @param statuses the latest status of each rank
     * @param map the bytes of the map in use, or empty if unknown
     * @param now the current time
     * @return the bytes of a better map, or empty to keep the one in use
     */
    Optional<byte[]> plan(List<RankStatus> statuses, Optional<byte[]> map, Instant now);
  }

  /**
   * Creates a controller that leads while {@code elected} returns true.
   *
   * @param group the group's name
   * @param ranks the number of ranks
   * @param processIncarnation a number drawn anew at each start of this process
   * @param options timeouts and margins of the leader
   * @param elected whether all ranks are known and this entry is elected to lead
   * @param sender sends commands
   * @param planner plans maps
   * @param planInterval interval between plans
   * @param clock the time
   */
  public GroupController(
      String group,
      int ranks,
      long processIncarnation,
      GroupLeaderOptions options,
      BooleanSupplier elected,
      Sender sender,
      Planner planner,
      Duration planInterval,
      InstantSource clock) {
    this.group = group;
    this.ranks = ranks;
    this.processIncarnation = processIncarnation;
    this.options = options;
    this.elected = elected;
    this.sender = sender;
    this.planner = planner;
    this.planInterval = planInterval;
    this.clock = clock;
  }

  /** Starts or stops leading, plans, and sends the commands that are due. */
  public void tick() {
    List<GroupLeader.AddressedCommand> due = advance(clock.instant());
    due.forEach(addressed -> sender.send(addressed.rank(), toWire(addressed.command())));
  }

  /**
   * Processes a rank's reply.
   *
   * @param reply the reply; one of another group or of an unknown rank is ignored
   */
  public void onReply(GroupReply reply) {
    if (!reply.getGroup().equals(group) || reply.getRank() >= ranks || reply.getRank() < 0) {
      return;
    }
    applyReply(toCore(reply));
    tick();
  }

  /**
   * Records an epoch seen elsewhere, such as in a target's report; a new leader takes a higher one.
   *
   * @param epoch the epoch
   */
  public synchronized void observeEpoch(long epoch) {
    highestSeenEpoch = Math.max(highestSeenEpoch, epoch);
  }

  /** Returns the phase of this entry's leader, or empty while it does not lead. */
  public synchronized Optional<Phase> phase() {
    return Optional.ofNullable(leader).map(GroupLeader::phase);
  }

  /**
   * Returns the version of the map in use, or 0 while this entry does not lead or does not know it.
   */
  public synchronized long mapVersion() {
    return leader == null ? 0 : leader.version();
  }

  private synchronized void applyReply(dev.ibishub.core.GroupReply reply) {
    if (leader != null) {
      leader.onReply(reply, clock.instant());
      observeEpoch(leader.highestSeenEpoch());
    }
  }

  private synchronized List<GroupLeader.AddressedCommand> advance(Instant now) {
    if (!elected.getAsBoolean()) {
      leader = null;
      return List.of();
    }
    if (leader != null && leader.phase() == Phase.DEPOSED) {
      // Two entries that both hold themselves elected would depose each other without end. The
      // back-off gives the wrong one time to learn of the other.
      leader = null;
      earliestLeadAt = now.plus(options.holdTimeout());
    }
    if (leader == null && !now.isBefore(earliestLeadAt)) {
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
    if (leader.phase() != Phase.READY || now.isBefore(nextPlanAt) || statuses.isEmpty()) {
      return;
    }
    nextPlanAt = now.plus(planInterval);
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
        carriesStatus(code) ? statusOf(reply) : null);
  }

  private static dev.ibishub.core.GroupCommand.Kind kindOf(GroupReply reply) {
    return reply.getKind() == GroupCommandKind.UNRECOGNIZED
            || reply.getKind() == GroupCommandKind.GROUP_COMMAND_KIND_UNSPECIFIED
        ? dev.ibishub.core.GroupCommand.Kind.PREPARE
        : dev.ibishub.core.GroupCommand.Kind.valueOf(
            reply.getKind().name().substring("GROUP_COMMAND_KIND_".length()));
  }

  // With any other code the engine could not be read, and the status fields are unset rather than
  // those of a fresh engine.
  private static boolean carriesStatus(ResultCode code) {
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
