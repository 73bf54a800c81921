package dev.ibishub.agent;

import com.google.protobuf.ByteString;
import dev.ibishub.core.GroupCommand.Kind;
import dev.ibishub.core.RankGate;
import dev.ibishub.core.RankStatus;
import dev.ibishub.core.ResultCode;
import dev.ibishub.engines.ModelEngine;
import dev.ibishub.engines.RankOrder;
import dev.ibishub.engines.RankState;
import dev.ibishub.outbound.WeightReservation;
import dev.ibishub.outbound.WeightStore;
import dev.ibishub.wire.generated.GroupCommand;
import dev.ibishub.wire.generated.GroupReply;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/**
 * Applies a group leader's commands to the engine of one rank, to switch the group's expert map.
 * Used behind ibishub's own interface. Each command is checked by {@link RankGate}; commands run
 * one at a time, and the engine's state is read before and after each.
 *
 * <p>Engines may ignore fencing tokens, so an order from an earlier run of this agent, or one whose
 * answer was lost, could take effect after a state without it was reported. Commands are therefore
 * refused until the settling time after such an order is over. Commands arrive on a connection to
 * this process, so those sent to an earlier run never reach this one. Thread-safe.
 */
public final class RankController {
  private static final byte[] NO_MAP = new byte[0];

  private final ModelEngine engine;
  private final WeightReserver weights;
  private final Function<GroupCommand, WeightReservation> weightsOf;
  private final InstantSource clock;
  private final Duration settlingTime;
  private final SequentialCalls calls = new SequentialCalls();
  private final String group;
  private final RankGate gate;
  private Instant settledAt;
  private long reservedVersion;

  /**
   * Creates the controller of an agent that has just started.
   *
   * @param engine the rank's engine
   * @param weightStore where the weights are reserved before a map is staged
   * @param weightsOf returns the weights that the engine will fetch for a staged map
   * @param group the group's name
   * @param rank the rank's number
   * @param settlingTime how long after the end of a call to the engine its order may still take
   *     effect
   * @param clock the source of the current time
   */
  public RankController(
      ModelEngine engine,
      WeightStore weightStore,
      Function<GroupCommand, WeightReservation> weightsOf,
      String group,
      int rank,
      Duration settlingTime,
      InstantSource clock) {
    this.engine = engine;
    this.weights = new WeightReserver(weightStore, clock);
    this.weightsOf = weightsOf;
    this.group = group;
    this.gate = RankGate.create(group, rank);
    this.settlingTime = settlingTime;
    this.clock = clock;
    this.settledAt = clock.instant().plus(settlingTime);
  }

  /**
   * Handles one command of a leader.
   *
   * @param command the command
   * @return the reply, whose result code says whether the command was carried out; never fails
   */
  public CompletableFuture<GroupReply> handle(GroupCommand command) {
    return calls.run(() -> handleNext(command));
  }

  private CompletableFuture<GroupReply> handleNext(GroupCommand command) {
    Optional<dev.ibishub.core.GroupCommand> known = toCore(command);
    if (known.isEmpty()) {
      return CompletableFuture.completedFuture(
          refusal(command, ResultCode.PROTOCOL_VIOLATION, "unnumbered or of an unknown kind"));
    }
    if (clock.instant().isBefore(settledAt)) {
      return CompletableFuture.completedFuture(
          refusal(command, ResultCode.NOT_READY, "an order may yet take effect"));
    }
    return engine
        .rank()
        .thenCompose(state -> decide(command, known.get(), toStatus(state)))
        .exceptionally(
            failure ->
                refusal(
                    command, FutureFailures.codeOf(failure), FutureFailures.messageOf(failure)));
  }

  private CompletableFuture<GroupReply> decide(
      GroupCommand wire, dev.ibishub.core.GroupCommand command, RankStatus before) {
    RankGate.Verdict verdict = gate.admit(command, before);
    if (!verdict.forward()) {
      return CompletableFuture.completedFuture(toWire(gate.reply(command, verdict.code(), before)));
    }
    return reserve(wire)
        .thenCompose(unused -> engine.orderRank(orderOf(command)))
        .thenApply(after -> toWire(gate.reply(command, ResultCode.OK, toStatus(after))))
        .exceptionallyCompose(failure -> failed(command, failure));
  }

  private CompletableFuture<GroupReply> failed(
      dev.ibishub.core.GroupCommand command, Throwable failure) {
    ResultCode code = FutureFailures.codeOf(failure);
    if (mayStillTakeEffect(code)) {
      settledAt = clock.instant().plus(settlingTime);
      return CompletableFuture.failedFuture(failure);
    }
    return engine.rank().thenApply(after -> toWire(gate.reply(command, code, toStatus(after))));
  }

  private static boolean mayStillTakeEffect(ResultCode code) {
    return switch (code) {
      case STEP_ALREADY_PASSED, MAP_NOT_STAGED, STALE_FENCING_TOKEN, WEIGHT_STORE_BUSY -> false;
      default -> true;
    };
  }

  private CompletableFuture<Void> reserve(GroupCommand command) {
    Kind kind = Kind.valueOf(nameOf(command));
    if (kind != Kind.STAGE || reservedVersion == command.getMapVersion()) {
      return CompletableFuture.completedFuture(null);
    }
    return weights
        .reserve(weightsOf.apply(command))
        .thenRun(() -> reservedVersion = command.getMapVersion());
  }

  private GroupReply refusal(GroupCommand command, ResultCode code, String detail) {
    return GroupReply.newBuilder()
        .setGroup(group)
        .setEpoch(command.getEpoch())
        .setSequence(command.getSequence())
        .setKind(command.getKind())
        .setHighestEpoch(gate.promisedEpoch())
        .setRank(gate.rank())
        .setResultCode(code.number())
        .setDetail(detail)
        .build();
  }

  private static String nameOf(GroupCommand command) {
    return command.getKind().name().substring("GROUP_COMMAND_KIND_".length());
  }

  private static Optional<dev.ibishub.core.GroupCommand> toCore(GroupCommand command) {
    boolean known =
        command.getKind() != dev.ibishub.wire.generated.GroupCommandKind.UNRECOGNIZED
            && command.getKind()
                != dev.ibishub.wire.generated.GroupCommandKind.GROUP_COMMAND_KIND_UNSPECIFIED;
    if (!known || command.getEpoch() <= 0 || command.getSequence() <= 0) {
      return Optional.empty();
    }
    return Optional.of(
        new dev.ibishub.core.GroupCommand(
            command.getGroup(),
            command.getGroupIncarnation(),
            command.getEpoch(),
            command.getSequence(),
            Kind.valueOf(nameOf(command)),
            command.getMapVersion(),
            command.getStep(),
            command.getMap().toByteArray()));
  }

  private static GroupReply toWire(dev.ibishub.core.GroupReply reply) {
    RankStatus status = reply.status();
    boolean wantsMap = reply.kind() == Kind.PREPARE || reply.kind() == Kind.JOIN;
    return GroupReply.newBuilder()
        .setGroup(reply.group())
        .setGroupIncarnation(reply.incarnation())
        .setRank(reply.rank())
        .setEpoch(reply.epoch())
        .setSequence(reply.sequence())
        .setKind(
            dev.ibishub.wire.generated.GroupCommandKind.valueOf(
                "GROUP_COMMAND_KIND_" + reply.kind()))
        .setResultCode(reply.code().number())
        .setHighestEpoch(reply.highestEpoch())
        .setCurrentStep(status.step())
        .setCurrentMapVersion(status.mapVersion())
        .setStagedMapVersion(status.stagedMapVersion())
        .setHoldStep(status.holdStep())
        .setCommittedMapVersion(status.committedMapVersion())
        .setCommittedStep(status.committedStep())
        .addAllExpertPopularity(status.expertPopularity())
        .setStepMillis(status.stepMillis())
        .setCurrentMap(ByteString.copyFrom(wantsMap ? status.map() : NO_MAP))
        .build();
  }

  private static RankOrder orderOf(dev.ibishub.core.GroupCommand command) {
    return new RankOrder(
        RankOrder.Kind.valueOf(command.kind().name()),
        command.epoch(),
        command.mapVersion(),
        command.step(),
        command.map());
  }

  private static RankStatus toStatus(RankState state) {
    return new RankStatus(
        state.engineStart(),
        state.step(),
        state.mapVersion(),
        state.stagedMapVersion(),
        state.holdStep(),
        state.committedMapVersion(),
        state.committedStep(),
        state.map(),
        state.expertPopularity(),
        state.stepMillis());
  }
}
