package dev.ibishub.core;

import dev.ibishub.core.GroupCommand.Kind;
import dev.ibishub.core.internal.experts.HoldStepEstimator;
import dev.ibishub.core.internal.experts.MapReconciler;
import dev.ibishub.core.internal.experts.Outbox;
import java.time.Instant;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.IntFunction;
import java.util.stream.IntStream;

/**
 * Leader of one group of ranks when ibishub runs behind its own interface: takes over from an
 * earlier leader, then switches the expert map such that all ranks use the same map in every step.
 * {@code dev.ibishub.core.ranks.MapSwitch} is its counterpart on the platform of its users.
 *
 * <p>A leader keeps no durable state, and needs neither a log nor a lease: it may stop or be paused
 * at any moment, and the next leader, which has a higher epoch, learns from the ranks what was
 * decided.
 *
 * <p>The caller sends the commands that {@link #poll} returns, passes replies to {@link #onReply},
 * and calls {@link #poll} again no later than {@link #wakeAt}. Not thread-safe.
 */
public final class GroupLeader {
  private final String group;
  private final int ranks;
  private final long epoch;
  private final GroupLeaderOptions options;
  private final Outbox outbox;
  private final MapReconciler reconciler;
  private final HoldStepEstimator holdStepEstimator;
  private final RankStatus[] statuses;
  private final boolean[] answered;
  private final Map<Long, byte[]> knownMaps = new HashMap<>();

  private Phase phase = Phase.PREPARING;
  private long incarnation;
  private long highestSeenIncarnation;
  private boolean joinRequired;
  private long highestSeenEpoch;
  private long version;
  private long stagedVersion;
  private long holdStep;
  private Instant holdUntil = Instant.MAX;
  private Instant refreshAt = Instant.MIN;
  private int switches;
  private int failedSwitches;

  private GroupLeader(String group, int ranks, long epoch, GroupLeaderOptions options) {
    this.group = group;
    this.ranks = ranks;
    this.epoch = epoch;
    this.options = options;
    this.outbox = new Outbox(ranks, options.retryAfter());
    this.reconciler = new MapReconciler(ranks);
    this.holdStepEstimator = new HoldStepEstimator(options.minimumLeadSteps());
    this.statuses = new RankStatus[ranks];
    this.answered = new boolean[ranks];
  }

  /** Phase of a leader. */
  public enum Phase {
    /** Asking every rank to promise this epoch and to report its state. */
    PREPARING,
    /** Readmitting a rank that lost its state, under a new group incarnation. */
    JOINING,
    /** Completing the newest decided commit, or releasing holds where nothing was decided. */
    MENDING,
    /** Telling every rank that all ranks have the commit. */
    FORGETTING,
    /** All ranks use one map and no step is held. */
    READY,
    /** Distributing the next map and waiting until every rank has staged it. */
    STAGING,
    /** Having every rank hold the step from which the next map will be used. */
    HOLDING,
    /** Superseded: a rank has promised a higher epoch to another leader. */
    DEPOSED
  }

  /**
   * Command with the rank that it is addressed to.
   *
   * @param rank the rank's number, from 0
   * @param command the command
   */
  public record AddressedCommand(int rank, GroupCommand command) {}

  /**
   * Creates a leader in {@link Phase#PREPARING}.
   *
   * @param group the group's name
   * @param ranks number of ranks in the group; the leader makes progress only when all of them
   *     answer
   * @param epoch this leader's epoch, unique among all leaders of the group
   * @param options timeouts and margins
   * @return the leader
   */
  public static GroupLeader create(
      String group, int ranks, long epoch, GroupLeaderOptions options) {
    if (ranks <= 0 || epoch <= 0 || epoch >= GroupEpoch.MAXIMUM) {
      throw new IllegalArgumentException("ranks or epoch out of range");
    }
    return new GroupLeader(group, ranks, epoch, options);
  }

  /**
   * Starts a switch to another map. Only one switch is in progress at a time.
   *
   * @param map the serialized map
   * @return the version assigned to the map, or empty when the leader is not {@link Phase#READY} or
   *     its epoch has no versions left
   */
  public Optional<Long> offer(byte[] map) {
    if (phase != Phase.READY) {
      return Optional.empty();
    }
    // Versions are derived from the epoch so that two leaders never assign one version to two maps:
    // a rank that staged one leader's map would accept the other leader's commit for it.
    long firstVersion = epoch * GroupLeaderOptions.MAPS_PER_EPOCH;
    stagedVersion = Math.max(firstVersion, Math.max(version, stagedVersion)) + 1;
    if (stagedVersion >= firstVersion + GroupLeaderOptions.MAPS_PER_EPOCH) {
      return Optional.empty();
    }
    knownMaps.keySet().removeIf(knownVersion -> knownVersion != version);
    knownMaps.put(stagedVersion, map.clone());
    outbox.clear();
    enterPhase(Phase.STAGING);
    return Optional.of(stagedVersion);
  }

  /**
   * Returns the commands to send now, both new ones and retransmissions.
   *
   * @param now the current time
   * @return the commands, at most one for each rank
   */
  public List<AddressedCommand> poll(Instant now) {
    if (phase == Phase.HOLDING && now.isAfter(holdUntil)) {
      abandonSwitch();
    }
    if (phase == Phase.READY && !now.isBefore(refreshAt)) {
      refreshAt = now.plus(options.refreshAfter());
      Arrays.fill(answered, false);
    }
    advance(now);
    return outbox.dueCommands(now);
  }

  /**
   * Processes a rank's reply. Late and duplicate replies are ignored.
   *
   * @param reply the reply
   * @param now the current time
   */
  public void onReply(GroupReply reply, Instant now) {
    highestSeenEpoch = Math.max(highestSeenEpoch, reply.highestEpoch());
    // An engine that checks fencing tokens may know of a later leader that its restarted agent has
    // forgotten.
    boolean refusedByEngine =
        reply.epoch() == epoch && reply.code() == ResultCode.STALE_FENCING_TOKEN;
    if (reply.highestEpoch() > epoch || refusedByEngine) {
      phase = Phase.DEPOSED;
    }
    if (phase == Phase.DEPOSED || reply.epoch() != epoch) {
      return;
    }
    Optional<Outbox.PendingCommand> pending = outbox.removeAnswered(reply, now);
    if (pending.isEmpty()) {
      return;
    }
    if (reply.kind() != Kind.STAGE) {
      // Staging waits for weights to load, so its duration says nothing about that of a hold.
      holdStepEstimator.onAnswer(pending.get().firstSentAt(), now);
    }
    if (reply.status() != null) {
      storeStatus(reply.rank(), reply.status());
    }
    highestSeenIncarnation = Math.max(highestSeenIncarnation, reply.incarnation());
    handleReply(reply, pending.get(), now);
    advance(now);
  }

  public Phase phase() {
    return phase;
  }

  /** Returns the version of the map that all ranks use or are being moved to, 0 for none. */
  public long version() {
    return version;
  }

  /** Returns the serialized map of {@link #version}, or empty when no rank has reported it. */
  public Optional<byte[]> map() {
    return Optional.ofNullable(knownMaps.get(version)).map(byte[]::clone);
  }

  public long highestSeenEpoch() {
    return highestSeenEpoch;
  }

  public int switches() {
    return switches;
  }

  /**
   * Returns the number of switches abandoned before the commit, mostly because a hold arrived late.
   */
  public int failedSwitches() {
    return failedSwitches;
  }

  /**
   * Returns the latest status of each rank, or an empty list until every rank has answered once.
   */
  public List<RankStatus> statuses() {
    return Arrays.stream(statuses).anyMatch(Objects::isNull) ? List.of() : List.of(statuses);
  }

  /** Returns the latest time at which {@link #poll} must be called again. */
  public Instant wakeAt() {
    Instant next = outbox.earliestSendAt();
    if (phase == Phase.HOLDING && holdUntil.isBefore(next)) {
      next = holdUntil;
    }
    return phase == Phase.READY && refreshAt.isBefore(next) ? refreshAt : next;
  }

  private void handleReply(GroupReply reply, Outbox.PendingCommand pending, Instant now) {
    if (reply.code() == ResultCode.OK) {
      onAccepted(reply.rank(), pending);
      return;
    }
    if (reply.code() == ResultCode.UNKNOWN_INCARNATION) {
      joinRequired = true;
      if (reply.kind() == Kind.PREPARE) {
        answered[reply.rank()] = true;
      } else {
        restartPreparing();
      }
      return;
    }
    if (phase == Phase.HOLDING && reply.code() == ResultCode.STEP_ALREADY_PASSED) {
      holdStepEstimator.onLateHold();
      abandonSwitch();
      return;
    }
    boolean stateDiffers =
        reply.code() == ResultCode.MAP_NOT_STAGED
            || reply.code() == ResultCode.STEP_ALREADY_PASSED
            || reply.code() == ResultCode.STALE_EPOCH
            || reply.code() == ResultCode.PROTOCOL_VIOLATION;
    if (stateDiffers && phase != Phase.PREPARING) {
      restartPreparing();
      return;
    }
    // Outcome unknown or engine busy: retries the same command, which is idempotent.
    outbox.requeue(reply.rank(), pending, now);
  }

  private void onAccepted(int rank, Outbox.PendingCommand pending) {
    answered[rank] = true;
    if (phase == Phase.MENDING && pending.command().kind() == Kind.COMMIT) {
      reconciler.onCommitted(rank, pending.command().mapVersion());
    }
  }

  private void storeStatus(int rank, RankStatus status) {
    statuses[rank] = status;
    if (status.map().length > 0 && status.mapVersion() > 0) {
      knownMaps.put(status.mapVersion(), status.map());
    }
  }

  private void advance(Instant now) {
    Phase previousPhase;
    do {
      previousPhase = phase;
      runPhase(now);
    } while (previousPhase != phase);
  }

  private void runPhase(Instant now) {
    switch (phase) {
      case PREPARING -> {
        enqueueForUnanswered(rank -> command(Kind.PREPARE, 0, 0));
        whenAllAnswered(this::joinOrReconcile);
      }
      case JOINING -> {
        enqueueForUnanswered(rank -> command(Kind.JOIN, 0, 0));
        whenAllAnswered(this::beginReconciling);
      }
      case MENDING -> reconcile(now);
      case FORGETTING -> {
        enqueueForUnanswered(rank -> command(Kind.FORGET, version, 0));
        whenAllAnswered(this::becomeReady);
      }
      case READY -> {
        enqueueForUnanswered(rank -> command(Kind.PREPARE, 0, 0));
        if (allAnswered() && needsReconciling()) {
          joinOrReconcile();
        }
      }
      case STAGING -> {
        enqueueForUnanswered(rank -> command(Kind.STAGE, stagedVersion, 0));
        whenAllAnswered(() -> beginHold(now));
      }
      case HOLDING -> {
        enqueueForUnanswered(rank -> command(Kind.HOLD, stagedVersion, holdStep));
        whenAllAnswered(this::beginCommit);
      }
      case DEPOSED -> outbox.clear();
      default -> throw new IllegalStateException(phase.name());
    }
  }

  private void joinOrReconcile() {
    if (!joinRequired) {
      beginReconciling();
      return;
    }
    joinRequired = false;
    incarnation = highestSeenIncarnation + 1;
    outbox.clear();
    enterPhase(Phase.JOINING);
  }

  // A rank that knows of a commit, or already uses a map that others do not, proves that an earlier
  // leader had every rank's hold and decided. All ranks have answered and now refuse that leader,
  // so if none of them knows of a commit there is none and never will be, and releasing is safe.
  private void beginReconciling() {
    incarnation = highestSeenIncarnation;
    // If every engine restarted, nothing is running, and a committed map may be lost with them.
    boolean allFresh = Arrays.stream(statuses).allMatch(RankStatus::isFresh);
    version = allFresh ? 0 : newestDecidedVersion();
    reconciler.start(version);
    outbox.clear();
    enterPhase(Phase.MENDING);
  }

  private long newestDecidedVersion() {
    return Arrays.stream(statuses)
        .mapToLong(status -> Math.max(status.mapVersion(), status.committedMapVersion()))
        .max()
        .orElse(0);
  }

  private void beginCommit() {
    version = stagedVersion;
    switches++;
    reconciler.start(version);
    outbox.clear();
    enterPhase(Phase.MENDING);
  }

  // Preparing again raises the sequence at every rank, so a copy of the hold that is still in
  // flight is refused on arrival, and the states reported next show exactly which ranks hold.
  private void abandonSwitch() {
    failedSwitches++;
    restartPreparing();
  }

  private void reconcile(Instant now) {
    MapReconciler.Action[] next = reconciler.next(statuses, knownMaps, holdStep);
    if (Arrays.stream(next).allMatch(MapReconciler.Action::isDone)) {
      enterPhase(Phase.FORGETTING);
      return;
    }
    // If a rank waits for the progress of others or for the bytes of a map, any rank may have the
    // answer, so all are polled again after a pause.
    boolean anyWaiting = Arrays.stream(next).anyMatch(action -> action.kind() == Kind.PREPARE);
    IntStream.range(0, ranks)
        .filter(rank -> outbox.isFree(rank) && (anyWaiting || !next[rank].isDone()))
        .forEach(rank -> enqueueAction(rank, next[rank], now));
  }

  private void enqueueAction(int rank, MapReconciler.Action action, Instant now) {
    if (action.isDone() || action.kind() == Kind.PREPARE) {
      outbox.putAt(rank, command(Kind.PREPARE, 0, 0), now.plus(options.pollAfter()));
      return;
    }
    outbox.put(rank, command(action.kind(), action.version(), action.step()));
  }

  private void becomeReady() {
    refreshAt = Instant.MIN;
    enterPhase(Phase.READY);
    Arrays.fill(answered, true);
  }

  private void beginHold(Instant now) {
    holdStep = holdStepEstimator.holdStep(statuses);
    holdUntil = now.plus(options.holdTimeout());
    enterPhase(Phase.HOLDING);
  }

  private void restartPreparing() {
    outbox.clear();
    enterPhase(Phase.PREPARING);
  }

  private void enterPhase(Phase next) {
    phase = next;
    Arrays.fill(answered, false);
  }

  private void enqueueForUnanswered(IntFunction<GroupCommand> commandFor) {
    IntStream.range(0, ranks)
        .filter(rank -> !answered[rank] && outbox.isFree(rank))
        .forEach(rank -> outbox.put(rank, commandFor.apply(rank)));
  }

  private boolean needsReconciling() {
    return joinRequired || Arrays.stream(statuses).anyMatch(this::hasStrayHold);
  }

  private boolean hasStrayHold(RankStatus status) {
    return status.holdStep() != 0 && status.committedMapVersion() != version;
  }

  private boolean allAnswered() {
    return IntStream.range(0, ranks).allMatch(rank -> answered[rank]);
  }

  private void whenAllAnswered(Runnable next) {
    if (allAnswered()) {
      next.run();
    }
  }

  private GroupCommand command(Kind kind, long mapVersion, long step) {
    byte[] map = kind == Kind.STAGE ? knownMaps.get(mapVersion) : new byte[0];
    long sequence = outbox.nextSequence();
    return new GroupCommand(group, incarnation, epoch, sequence, kind, mapVersion, step, map);
  }
}
