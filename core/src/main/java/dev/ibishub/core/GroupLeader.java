package dev.ibishub.core;

import dev.ibishub.core.GroupCommand.Kind;
import dev.ibishub.core.internal.experts.Mender;
import dev.ibishub.core.internal.experts.Outbox;
import dev.ibishub.core.internal.experts.StepForecast;
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
 * Leads one group of ranks: takes over from an earlier leader, then switches the expert map so that
 * in every step all ranks use the same one. It owns nothing: a leader may end or be paused at any
 * moment, and the next one, with a higher epoch, finds out from the ranks what was decided. It
 * needs neither a log nor a lease.
 *
 * <p>The caller sends what {@link #poll} gives, hands in what comes back by {@link #onReply}, and
 * calls {@link #poll} again at the latest at {@link #wakeAt}. Not thread-safe.
 */
public final class GroupLeader {
  private final String group;
  private final int ranks;
  private final long epoch;
  private final GroupLeaderOptions options;
  private final Outbox outbox;
  private final Mender mender;
  private final StepForecast forecast;
  private final RankStatus[] statuses;
  private final boolean[] answered;
  private final Map<Long, byte[]> knownMaps = new HashMap<>();

  private Phase phase = Phase.PREPARING;
  private long incarnation;
  private long highestSeenIncarnation;
  private boolean memoryLost;
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
    this.mender = new Mender(ranks);
    this.forecast = new StepForecast(options.minimumLeadSteps());
    this.statuses = new RankStatus[ranks];
    this.answered = new boolean[ranks];
  }

  /** What a leader is doing. */
  public enum Phase {
    /** Asking all ranks for their promise and state. */
    PREPARING,
    /** Bringing a rank that lost its memory in, under a new incarnation. */
    JOINING,
    /** Finishing what was decided, or releasing holds where nothing was. */
    MENDING,
    /** Telling all ranks that all have the commit. */
    FORGETTING,
    /** All ranks use one map and none is held. */
    READY,
    /** Having the next map made ready. */
    STAGING,
    /** Having all ranks hold the step from which the next map is to be used. */
    HOLDING,
    /** A rank has promised a higher epoch: another leader leads. */
    DEPOSED
  }

  /**
   * A command and the rank it is for.
   *
   * @param rank the rank's number, from 0
   * @param command the command
   */
  public record Addressed(int rank, GroupCommand command) {}

  /**
   * Creates a leader that starts by taking over.
   *
   * @param group the group's name
   * @param ranks how many ranks the group has; all must answer
   * @param epoch this leader's number; no two leaders of a group ever have the same
   * @param options times and margins
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
   * Asks for a switch to another map. Only one switch is under way at a time.
   *
   * @param map the map's bytes
   * @return the version given to the map, or empty when the leader is not {@link Phase#READY}
   */
  public Optional<Long> offer(byte[] map) {
    if (phase != Phase.READY) {
      return Optional.empty();
    }
    // Built on the epoch, so that two leaders never give one number to two maps: a rank that staged
    // the map of the one would take the commit of the other for it.
    long first = epoch * GroupLeaderOptions.MAPS_AN_EPOCH;
    stagedVersion = Math.max(first, Math.max(version, stagedVersion)) + 1;
    if (stagedVersion >= first + GroupLeaderOptions.MAPS_AN_EPOCH) {
      return Optional.empty();
    }
    knownMaps.keySet().removeIf(known -> known != version);
    knownMaps.put(stagedVersion, map.clone());
    outbox.clear();
    enter(Phase.STAGING);
    return Optional.of(stagedVersion);
  }

  /**
   * Gives the commands to send now, first copies and repeats alike.
   *
   * @param now the time
   * @return the commands, at most one a rank
   */
  public List<Addressed> poll(Instant now) {
    if (phase == Phase.HOLDING && now.isAfter(holdUntil)) {
      abandonSwitch();
    }
    if (phase == Phase.READY && !now.isBefore(refreshAt)) {
      refreshAt = now.plus(options.refreshAfter());
      Arrays.fill(answered, false);
    }
    advance(now);
    return outbox.due(now);
  }

  /**
   * Takes a rank's answer. Late and repeated answers are ignored.
   *
   * @param reply the answer
   * @param now the time
   */
  public void onReply(GroupReply reply, Instant now) {
    highestSeenEpoch = Math.max(highestSeenEpoch, reply.highestEpoch());
    // An engine that checks numbers can remember a later leader that its restarted agent forgot.
    boolean engineRefuses =
        reply.epoch() == epoch && reply.code() == ResultCode.STALE_FENCING_TOKEN;
    if (reply.highestEpoch() > epoch || engineRefuses) {
      phase = Phase.DEPOSED;
    }
    if (phase == Phase.DEPOSED || reply.epoch() != epoch) {
      return;
    }
    Optional<Outbox.Sent> sent = outbox.take(reply, now);
    if (sent.isEmpty()) {
      return;
    }
    if (reply.kind() != Kind.STAGE) {
      // Staging waits for weights, which says nothing about how long a hold will take.
      forecast.onAnswer(sent.get().firstSentAt(), now);
    }
    if (reply.status() != null) {
      keep(reply.rank(), reply.status());
    }
    highestSeenIncarnation = Math.max(highestSeenIncarnation, reply.incarnation());
    accept(reply, sent.get(), now);
    advance(now);
  }

  public Phase phase() {
    return phase;
  }

  /** Returns the version of the map that all ranks use or are being brought to, 0 for none. */
  public long version() {
    return version;
  }

  /** Returns the bytes of {@link #version}, or empty when no rank has reported them. */
  public Optional<byte[]> map() {
    return Optional.ofNullable(knownMaps.get(version)).map(byte[]::clone);
  }

  public long highestSeenEpoch() {
    return highestSeenEpoch;
  }

  public int switches() {
    return switches;
  }

  /** Returns how many switches were given up before the commit, mostly for a hold come late. */
  public int failedSwitches() {
    return failedSwitches;
  }

  /** Returns the last state heard from each rank; empty until all have answered once. */
  public List<RankStatus> statuses() {
    return Arrays.stream(statuses).anyMatch(Objects::isNull) ? List.of() : List.of(statuses);
  }

  /** Returns when {@link #poll} is to be called at the latest. */
  public Instant wakeAt() {
    Instant next = outbox.nextRepeatAt();
    if (phase == Phase.HOLDING && holdUntil.isBefore(next)) {
      next = holdUntil;
    }
    return phase == Phase.READY && refreshAt.isBefore(next) ? refreshAt : next;
  }

  private void accept(GroupReply reply, Outbox.Sent sent, Instant now) {
    if (reply.code() == ResultCode.OK) {
      accepted(reply.rank(), sent);
      return;
    }
    if (reply.code() == ResultCode.UNKNOWN_INCARNATION) {
      memoryLost = true;
      if (reply.kind() == Kind.PREPARE) {
        answered[reply.rank()] = true;
      } else {
        prepareAnew();
      }
      return;
    }
    if (phase == Phase.HOLDING && reply.code() == ResultCode.STEP_ALREADY_PASSED) {
      forecast.onLateHold();
      abandonSwitch();
      return;
    }
    boolean stateDiffers =
        reply.code() == ResultCode.MAP_NOT_STAGED
            || reply.code() == ResultCode.STEP_ALREADY_PASSED
            || reply.code() == ResultCode.STALE_EPOCH
            || reply.code() == ResultCode.PROTOCOL_VIOLATION;
    if (stateDiffers && phase != Phase.PREPARING) {
      prepareAnew();
      return;
    }
    // Outcome unknown or the engine busy: the same command again, which is idempotent.
    outbox.putBack(reply.rank(), sent, now);
  }

  private void accepted(int rank, Outbox.Sent sent) {
    answered[rank] = true;
    if (phase == Phase.MENDING && sent.command().kind() == Kind.COMMIT) {
      mender.onCommitted(rank, sent.command().mapVersion());
    }
  }

  private void keep(int rank, RankStatus status) {
    statuses[rank] = status;
    if (status.map().length > 0 && status.mapVersion() > 0) {
      knownMaps.put(status.mapVersion(), status.map());
    }
  }

  private void advance(Instant now) {
    Phase before;
    do {
      before = phase;
      step(now);
    } while (before != phase);
  }

  private void step(Instant now) {
    switch (phase) {
      case PREPARING -> {
        askAll(rank -> command(Kind.PREPARE, 0, 0));
        whenAllAnswered(this::afterPrepare);
      }
      case JOINING -> {
        askAll(rank -> command(Kind.JOIN, 0, 0));
        whenAllAnswered(this::takeStock);
      }
      case MENDING -> mend(now);
      case FORGETTING -> {
        askAll(rank -> command(Kind.FORGET, version, 0));
        whenAllAnswered(this::becomeReady);
      }
      case READY -> {
        askAll(rank -> command(Kind.PREPARE, 0, 0));
        if (allAnswered() && needsMending()) {
          afterPrepare();
        }
      }
      case STAGING -> {
        askAll(rank -> command(Kind.STAGE, stagedVersion, 0));
        whenAllAnswered(() -> beginHold(now));
      }
      case HOLDING -> {
        askAll(rank -> command(Kind.HOLD, stagedVersion, holdStep));
        whenAllAnswered(this::decideCommit);
      }
      case DEPOSED -> outbox.clear();
      default -> throw new IllegalStateException(phase.name());
    }
  }

  private void afterPrepare() {
    if (!memoryLost) {
      takeStock();
      return;
    }
    memoryLost = false;
    incarnation = highestSeenIncarnation + 1;
    outbox.clear();
    enter(Phase.JOINING);
  }

  // A rank that knows of a commit, or already uses a map that others do not, proves that an earlier
  // leader had every rank's hold and decided. All have answered and refuse that leader from now on,
  // so where none knows of a commit there is none and never will be, and releasing is safe.
  private void takeStock() {
    incarnation = highestSeenIncarnation;
    // Where every engine started anew nothing runs, and what was committed may be lost with them.
    boolean allFresh = Arrays.stream(statuses).allMatch(RankStatus::isFresh);
    version = allFresh ? 0 : newestDecided();
    mender.start(version);
    outbox.clear();
    enter(Phase.MENDING);
  }

  private long newestDecided() {
    return Arrays.stream(statuses)
        .mapToLong(status -> Math.max(status.mapVersion(), status.committedMapVersion()))
        .max()
        .orElse(0);
  }

  private void decideCommit() {
    version = stagedVersion;
    switches++;
    mender.start(version);
    outbox.clear();
    enter(Phase.MENDING);
  }

  // Asking anew raises the sequence at every rank, so a copy of the hold that is still under way is
  // refused when it comes, and the state heard next is the whole truth about who holds.
  private void abandonSwitch() {
    failedSwitches++;
    prepareAnew();
  }

  private void mend(Instant now) {
    Mender.Step[] next = mender.next(statuses, knownMaps, holdStep);
    if (Arrays.stream(next).allMatch(Mender.Step::isDone)) {
      enter(Phase.FORGETTING);
      return;
    }
    // Where one rank waits for the others to get on, or for a map's bytes, the answer may lie with
    // any rank: all are asked again, with a pause.
    boolean waits = Arrays.stream(next).anyMatch(step -> step.kind() == Kind.PREPARE);
    IntStream.range(0, ranks)
        .filter(rank -> outbox.isFree(rank) && (waits || !next[rank].isDone()))
        .forEach(rank -> putMending(rank, next[rank], now));
  }

  private void putMending(int rank, Mender.Step step, Instant now) {
    if (step.isDone() || step.kind() == Kind.PREPARE) {
      outbox.putAt(rank, command(Kind.PREPARE, 0, 0), now.plus(options.pollAfter()));
      return;
    }
    outbox.put(rank, command(step.kind(), step.version(), step.step()));
  }

  private void becomeReady() {
    refreshAt = Instant.MIN;
    enter(Phase.READY);
    Arrays.fill(answered, true);
  }

  private void beginHold(Instant now) {
    holdStep = forecast.holdStep(statuses);
    holdUntil = now.plus(options.holdFor());
    enter(Phase.HOLDING);
  }

  private void prepareAnew() {
    outbox.clear();
    enter(Phase.PREPARING);
  }

  private void enter(Phase next) {
    phase = next;
    Arrays.fill(answered, false);
  }

  private void askAll(IntFunction<GroupCommand> question) {
    IntStream.range(0, ranks)
        .filter(rank -> !answered[rank] && outbox.isFree(rank))
        .forEach(rank -> outbox.put(rank, question.apply(rank)));
  }

  private boolean needsMending() {
    return memoryLost || Arrays.stream(statuses).anyMatch(this::holdsForNothing);
  }

  private boolean holdsForNothing(RankStatus status) {
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
