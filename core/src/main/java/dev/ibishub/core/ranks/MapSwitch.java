package dev.ibishub.core.ranks;

import dev.ibishub.core.ranks.RankCommand.Kind;
import dev.ibishub.core.ranks.RankCommand.Result;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.stream.IntStream;

/**
 * Switches all ranks of a group from one map to the next at the same step. It is used on the
 * platform of ibishub's users; {@code dev.ibishub.core.GroupLeader} is its counterpart behind
 * ibishub's own interface. Not thread-safe.
 *
 * <p>It guarantees that no step begins while two ranks have different maps. The map is first
 * prepared on all ranks. Then one rank holds a step slightly ahead, all ranks are armed for that
 * step, and the step is released once every rank has confirmed. The hold comes first because an
 * unanswered command may be carried out seconds later: without the hold, the step could begin while
 * only some ranks are armed. Normally the release arrives before the step is due, so that no rank
 * waits.
 *
 * <p>A leader that takes over learns from the reports of the ranks what its predecessor left
 * unfinished. It completes an armed switch if all ranks can be armed, and otherwise disarms all
 * ranks. It uses a higher fencing token, so that commands of the predecessor that are still in
 * flight are refused once each rank has answered. Two concurrent leaders can delay each other but
 * not violate the guarantee: a held step is released only when all ranks are armed alike, or when
 * all have confirmed under one token that they are not armed.
 */
public final class MapSwitch {
  /** Age beyond which a report is stale, milliseconds. */
  static final long MAXIMUM_VIEW_AGE_MILLIS = 600;

  /** Time without an answer after which a command is sent again, milliseconds. */
  static final long RETRY_MILLIS = 70;

  /**
   * How long the remains of another leader's switch must be observed before recovery starts,
   * because the reports of the ranks are from different times. Milliseconds.
   */
  static final long RECOVERY_DELAY_MILLIS = 300;

  /** Timeout of the preparation, milliseconds. */
  static final long PREPARE_TIMEOUT_MILLIS = 2_500;

  /** How long to leave the group to another leader after a command was fenced, milliseconds. */
  static final long YIELD_MILLIS = 1_000;

  /**
   * Number of steps from the newest known step to the held one. The next step is held by default:
   * with uneven experts a step takes over 100 ms, and each step with the old map delays all
   * streams, while arming all ranks under a hold takes about 20 ms. A hold that arrives too late is
   * refused and retried one step later.
   */
  static final int DEFAULT_LEAD_STEPS = 1;

  /**
   * Number of steps ahead after a switch with an unanswered command, so that the hold stalls no
   * rank.
   */
  static final int CAUTIOUS_LEAD_STEPS = 3;

  /** Value of {@link #unfinishedSince} when nothing is unfinished. */
  private static final long NONE_UNFINISHED = Long.MAX_VALUE;

  private static final long NOT_HELD = -1;

  private final int ranks;
  private final FencingTokenSource fencingTokens;
  private final Map<Integer, RankView> views = new HashMap<>();
  private final boolean[] confirmed;
  private final long[] nextAttemptAt;
  private final int[] attempts;
  private final long[] attemptedHoldStep;
  private Phase phase = Phase.IDLE;
  private long version;
  private long epoch;
  private long step;
  private long token;
  private int holdingRank;
  private int leadSteps = DEFAULT_LEAD_STEPS;
  private long phaseSince;
  private long unfinishedSince = NONE_UNFINISHED;
  private long yieldUntil;
  private boolean isRecovering;
  private boolean canComplete;
  private boolean hadUnanswered;

  /** Phase of a switch. */
  public enum Phase {
    IDLE,
    PREPARING,
    HOLDING,
    ARMING,
    DISARMING,
    RELEASING,
    SWITCHING
  }

  /**
   * Creates a switch for a group.
   *
   * @param ranks number of ranks in the group
   * @param fencingTokens source of fencing tokens
   */
  public MapSwitch(int ranks, FencingTokenSource fencingTokens) {
    this.ranks = ranks;
    this.fencingTokens = fencingTokens;
    this.confirmed = new boolean[ranks];
    this.nextAttemptAt = new long[ranks];
    this.attempts = new int[ranks];
    this.attemptedHoldStep = new long[ranks];
    Arrays.fill(attemptedHoldStep, NOT_HELD);
  }

  public Phase phase() {
    return phase;
  }

  /** Returns the version of the current or the last switch. */
  public long version() {
    return version;
  }

  /** Processes a report of a rank. Reports of unknown ranks are ignored. */
  public void onView(int rank, RankView view) {
    if (rank < 0 || rank >= ranks) {
      return;
    }
    views.put(rank, view);
    if (phase == Phase.ARMING
        && view.armedVersion() == version
        && view.armedStep() == step
        && view.epoch() == epoch) {
      confirmed[rank] = true;
    }
  }

  /**
   * Whether all ranks have recently reported the same map and no switch is in progress or
   * unfinished.
   */
  public boolean isReady(long now) {
    return phase == Phase.IDLE
        && now >= yieldUntil
        && hasCurrentViews(now)
        && unfinishedSince == NONE_UNFINISHED
        && mapVersion().isPresent();
  }

  /** Returns the version of the map in use, or empty if ranks differ or have not reported. */
  public OptionalLong mapVersion() {
    long[] versions = views.values().stream().mapToLong(RankView::mapVersion).distinct().toArray();
    return versions.length == 1 && views.size() == ranks
        ? OptionalLong.of(versions[0])
        : OptionalLong.empty();
  }

  /** Returns the highest map version that any rank has reported, 0 for none. */
  public long highestVersion() {
    return views.values().stream()
        .mapToLong(
            view ->
                Math.max(view.mapVersion(), Math.max(view.preparedVersion(), view.armedVersion())))
        .max()
        .orElse(0);
  }

  /** Returns the highest epoch that any rank has reported, 0 for none. */
  public long epoch() {
    return views.values().stream().mapToLong(RankView::epoch).max().orElse(0);
  }

  /**
   * Starts a switch; call only when {@link #isReady}.
   *
   * @param newVersion version of the new map, higher than any before
   * @param now the current time, milliseconds
   */
  public void start(long newVersion, long now) {
    version = newVersion;
    epoch = epoch();
    token = fencingTokens.next();
    isRecovering = false;
    hadUnanswered = false;
    Arrays.fill(attemptedHoldStep, NOT_HELD);
    enterPhase(Phase.PREPARING, now);
  }

  /**
   * Advances the switch.
   *
   * @param now the current time, milliseconds
   * @return the commands to send now
   */
  public List<RankCommand> tick(long now) {
    if (phase != Phase.IDLE && epoch() != epoch) {
      // The group formed again: its ranks have map 0, and nothing is prepared, armed or held.
      enterPhase(Phase.IDLE, now);
    }
    return switch (phase) {
      case IDLE -> detectUnfinishedSwitch(now);
      case PREPARING -> prepare(now);
      case HOLDING -> hold(now);
      case ARMING -> arm(now);
      case DISARMING -> disarm(now);
      case RELEASING -> release(now);
      case SWITCHING -> awaitSwitch(now);
    };
  }

  /**
   * Processes the result of a command. Results of earlier switches and epochs are ignored.
   *
   * @param command the command as returned by {@link #tick}
   * @param result its result
   * @param now the current time, milliseconds
   */
  public void onResult(RankCommand command, Result result, long now) {
    if (command.token() != tokenFor(command.kind()) || command.epoch() != epoch) {
      return;
    }
    if (result == Result.FENCED) {
      onFenced(now);
      return;
    }
    hadUnanswered |= result == Result.UNKNOWN;
    switch (phase) {
      case PREPARING -> onPrepareResult(command, result, now);
      case HOLDING -> onHoldResult(command, result, now);
      case ARMING -> onArmResult(command, result, now);
      case DISARMING -> onDisarmResult(command, result);
      case RELEASING -> onReleaseResult(command, result);
      default -> {}
    }
  }

  private List<RankCommand> prepare(long now) {
    for (int rank = 0; rank < ranks; rank++) {
      RankView view = views.get(rank);
      confirmed[rank] = view != null && view.preparedVersion() == version;
    }
    if (allConfirmed()) {
      step = nextStep();
      holdingRank = (holdingRank + 1) % ranks;
      enterPhase(Phase.HOLDING, now);
      return hold(now);
    }
    if (now - phaseSince > PREPARE_TIMEOUT_MILLIS) {
      enterPhase(Phase.IDLE, now);
      return List.of();
    }
    return commandsToUnconfirmed(Kind.PREPARE, now, PREPARE_TIMEOUT_MILLIS);
  }

  private List<RankCommand> hold(long now) {
    if (now < nextAttemptAt[holdingRank]) {
      return List.of();
    }
    if (nextAttemptAt[holdingRank] > 0 && !isRecovering) {
      // Unanswered: the hold may still take effect, and is released together with the others.
      // Another rank may answer sooner.
      nextAttemptAt[holdingRank] = 0;
      holdingRank = (holdingRank + 1) % ranks;
      step = nextStep();
    }
    nextAttemptAt[holdingRank] = now + RETRY_MILLIS;
    attemptedHoldStep[holdingRank] = step;
    return List.of(command(holdingRank, Kind.HOLD));
  }

  private List<RankCommand> arm(long now) {
    if (allConfirmed()) {
      adjustLeadSteps();
      startRelease(now);
      return release(now);
    }
    return commandsToUnconfirmed(Kind.ARM, now, RETRY_MILLIS);
  }

  private List<RankCommand> disarm(long now) {
    if (allConfirmed()) {
      startRelease(now);
      return release(now);
    }
    return commandsToUnconfirmed(Kind.DISARM, now, RETRY_MILLIS);
  }

  private void startRelease(long now) {
    enterPhase(Phase.RELEASING, now);
    for (int rank = 0; rank < ranks; rank++) {
      OptionalLong held = views.get(rank).heldStep();
      if (attemptedHoldStep[rank] == NOT_HELD && held.isPresent()) {
        attemptedHoldStep[rank] = held.getAsLong();
      }
      confirmed[rank] = attemptedHoldStep[rank] == NOT_HELD;
    }
  }

  private List<RankCommand> release(long now) {
    if (allConfirmed()) {
      Arrays.fill(attemptedHoldStep, NOT_HELD);
      enterPhase(Phase.SWITCHING, now);
      return List.of();
    }
    return commandsToUnconfirmed(Kind.RELEASE, now, RETRY_MILLIS);
  }

  private void adjustLeadSteps() {
    leadSteps = hadUnanswered ? CAUTIOUS_LEAD_STEPS : Math.max(DEFAULT_LEAD_STEPS, leadSteps - 1);
  }

  private List<RankCommand> awaitSwitch(long now) {
    boolean isSwitchComplete =
        hasCurrentViews(now)
            && views.values().stream()
                .allMatch(view -> view.armedVersion() == 0 && view.at() > phaseSince)
            && mapVersion().isPresent();
    if (isSwitchComplete) {
      enterPhase(Phase.IDLE, now);
      return List.of();
    }
    // A late hold of another leader may have taken effect; without this check the switch would wait
    // for it.
    return detectUnfinishedSwitch(now);
  }

  /**
   * Starts the recovery of another leader's unfinished switch once it has been observed long
   * enough.
   */
  private List<RankCommand> detectUnfinishedSwitch(long now) {
    if (!hasUnfinishedSwitch() || now < yieldUntil) {
      unfinishedSince = NONE_UNFINISHED;
      return List.of();
    }
    unfinishedSince = Math.min(unfinishedSince, now);
    if (now - unfinishedSince >= RECOVERY_DELAY_MILLIS && hasCurrentViews(now)) {
      unfinishedSince = NONE_UNFINISHED;
      startRecovery(now);
    }
    return List.of();
  }

  /** Whether a step is held, or the ranks are not all armed alike. */
  private boolean hasUnfinishedSwitch() {
    boolean isHeld = views.values().stream().anyMatch(view -> view.heldStep().isPresent());
    long distinctArmedVersions =
        views.values().stream().mapToLong(RankView::armedVersion).distinct().count();
    return isHeld || distinctArmedVersions > 1;
  }

  private void startRecovery(long now) {
    epoch = epoch();
    token = fencingTokens.next();
    isRecovering = true;
    Arrays.fill(attemptedHoldStep, NOT_HELD);
    long armedVersion = views.values().stream().mapToLong(RankView::armedVersion).max().orElse(0);
    version = armedVersion > 0 ? armedVersion : highestVersion();
    step =
        views.values().stream()
            .filter(view -> armedVersion > 0 && view.armedVersion() == armedVersion)
            .mapToLong(RankView::armedStep)
            .max()
            .orElse(0);
    canComplete = armedVersion > 0 && views.values().stream().allMatch(this::canSwitch);
    if (armedVersion == 0) {
      step =
          views.values().stream()
              .filter(view -> view.heldStep().isPresent())
              .mapToLong(view -> view.heldStep().getAsLong())
              .min()
              .orElse(0);
    }
    holdingRank = chooseHoldingRank(step);
    enterPhase(Phase.HOLDING, now);
  }

  /**
   * Chooses the rank that holds the step for this leader before it changes anything. A rank that
   * already holds the step thereby records the new token, so that the previous leader, if it is
   * still running, cannot release the step while only some ranks have received the new leader's
   * commands.
   */
  private int chooseHoldingRank(long targetStep) {
    return IntStream.range(0, ranks)
        .filter(rank -> views.get(rank).heldStep().equals(OptionalLong.of(targetStep)))
        .findFirst()
        .orElseGet(
            () ->
                IntStream.range(0, ranks)
                    .filter(rank -> views.get(rank).heldStep().isEmpty())
                    .findFirst()
                    .orElse(0));
  }

  private boolean canSwitch(RankView view) {
    boolean isArmed = view.armedVersion() == version && view.armedStep() == step;
    return isArmed || (view.armedVersion() == 0 && view.preparedVersion() == version);
  }

  private void onPrepareResult(RankCommand command, Result result, long now) {
    if (command.kind() != Kind.PREPARE) {
      return;
    }
    int rank = command.rank();
    if (result == Result.UNKNOWN) {
      nextAttemptAt[rank] = now;
    } else if (result == Result.CONFLICT && attempts[rank] == 1) {
      // A refused first attempt can never succeed: the rank has had a higher version or is armed. A
      // later attempt may be refused because the first one was carried out after all.
      enterPhase(Phase.IDLE, now);
    }
  }

  private void onHoldResult(RankCommand command, Result result, long now) {
    if (command.kind() != Kind.HOLD || command.rank() != holdingRank || command.step() != step) {
      return;
    }
    if (result == Result.DONE) {
      enterPhase(isRecovering && !canComplete ? Phase.DISARMING : Phase.ARMING, now);
    } else if (result == Result.CONFLICT && isRecovering) {
      enterPhase(Phase.IDLE, now);
    } else if (result == Result.CONFLICT) {
      attemptedHoldStep[holdingRank] = NOT_HELD;
      step = Math.max(step + 1, nextStep());
      nextAttemptAt[holdingRank] = 0;
    }
  }

  private void onArmResult(RankCommand command, Result result, long now) {
    if (command.kind() != Kind.ARM || command.step() != step) {
      return;
    }
    if (result == Result.DONE) {
      confirmed[command.rank()] = true;
    } else if (result == Result.CONFLICT && !confirmed[command.rank()]) {
      // The rank can no longer switch to this map, so no rank may. The step stays held meanwhile.
      enterPhase(Phase.DISARMING, now);
    }
  }

  private void onDisarmResult(RankCommand command, Result result) {
    if (command.kind() == Kind.DISARM && result != Result.UNKNOWN) {
      confirmed[command.rank()] = true;
    }
  }

  private void onReleaseResult(RankCommand command, Result result) {
    if (command.kind() == Kind.RELEASE && result != Result.UNKNOWN) {
      confirmed[command.rank()] = true;
    }
  }

  /** Yields to the other leader that fenced a command, and checks the group again later. */
  private void onFenced(long now) {
    fencingTokens.onHigherTokenSeen();
    yieldUntil = now + YIELD_MILLIS;
    enterPhase(Phase.IDLE, now);
  }

  private List<RankCommand> commandsToUnconfirmed(Kind kind, long now, long retryMillis) {
    List<RankCommand> commands = new ArrayList<>();
    for (int rank = 0; rank < ranks; rank++) {
      if (!confirmed[rank] && now >= nextAttemptAt[rank]) {
        nextAttemptAt[rank] = now + retryMillis;
        attempts[rank]++;
        commands.add(command(rank, kind));
      }
    }
    return commands;
  }

  private RankCommand command(int rank, Kind kind) {
    long targetStep = kind == Kind.RELEASE ? attemptedHoldStep[rank] : step;
    return new RankCommand(rank, kind, version, targetStep, epoch, tokenFor(kind));
  }

  /**
   * Returns the fencing token for a command. Later commands of a switch have higher tokens, so that
   * an earlier one still in flight is refused once a rank has answered a later one. All are below
   * those of the next switch of any leader, so that a superseded leader cannot release what its
   * successor holds.
   */
  private long tokenFor(Kind kind) {
    return switch (kind) {
      case PREPARE, HOLD, ARM -> token;
      case DISARM -> token + 1;
      case RELEASE -> token + 2;
    };
  }

  private long newestStep() {
    return views.values().stream().mapToLong(RankView::step).max().orElse(0);
  }

  private long nextStep() {
    return newestStep() + leadSteps;
  }

  private boolean hasCurrentViews(long now) {
    return views.size() == ranks
        && views.values().stream().mapToLong(RankView::epoch).distinct().count() == 1
        && views.values().stream()
            .allMatch(view -> view.isOpen() && now - view.at() <= MAXIMUM_VIEW_AGE_MILLIS);
  }

  private boolean allConfirmed() {
    return IntStream.range(0, ranks).allMatch(rank -> confirmed[rank]);
  }

  private void enterPhase(Phase next, long now) {
    phase = next;
    phaseSince = now;
    Arrays.fill(confirmed, false);
    Arrays.fill(nextAttemptAt, 0);
    Arrays.fill(attempts, 0);
  }
}
