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
 * Brings all ranks of a group from one map to the next at the same step. Not thread-safe.
 *
 * <p>The promise: no step begins while two ranks have different maps. A switch is prepared
 * everywhere; then one rank holds a step a little ahead, all are armed for that step, and only when
 * each has confirmed is the step released. The hold comes first because a command that was not
 * answered may be carried out seconds later: without it the step could begin while some ranks are
 * armed and others not. In the common case the release comes before the step is due, and nobody
 * waits.
 *
 * <p>A leader that takes over finds what the last one left in the ranks' own reports: it finishes
 * an armed switch where all can be armed, and else disarms everywhere. It uses a higher fencing
 * token, so commands of the last leader that are still under way are refused once each rank has
 * answered. Two leaders at once can delay each other but not break the promise: a held step is
 * released only when all ranks are armed alike, or when all have confirmed under one token that
 * they are not.
 */
public final class MapSwitch {
  /** A report older than this says nothing about now. Milliseconds. */
  static final long FRESH_MILLIS = 600;

  /** How long one command may stay unanswered before it is given again, milliseconds. */
  static final long REPEAT_MILLIS = 70;

  /**
   * How long what another leader left has to look the same before it is settled; reports of the
   * ranks are of different moments. Milliseconds.
   */
  static final long SETTLE_MILLIS = 300;

  /** A preparation that takes longer than this is given up, milliseconds. */
  static final long PREPARE_MILLIS = 2_500;

  /** After another leader was noticed, how long to leave the group to it. Milliseconds. */
  static final long YIELD_MILLIS = 1_000;

  /**
   * Steps from the newest one known to the one that is held. The next one is taken: when experts
   * are uneven a step takes over 100 ms, and each that passes with the old map makes all streams
   * late, while arming all ranks under a hold takes some 20 ms. A hold that comes late is refused
   * and tried again a step later.
   */
  static final int FIRST_AHEAD = 1;

  /** The same after a switch in which a command stayed unanswered, so that the hold is not felt. */
  static final int CAREFUL_AHEAD = 3;

  /** A rank that needs no further try. */
  private static final long NEVER = Long.MAX_VALUE;

  private static final long NOT_HELD = -1;

  private final int ranks;
  private final TokenSource tokens;
  private final Map<Integer, RankView> views = new HashMap<>();
  private final boolean[] confirmed;
  private final long[] nextTry;
  private final int[] tries;
  private final long[] triedHold;
  private Phase phase = Phase.IDLE;
  private long version;
  private long epoch;
  private long step;
  private long token;
  private int holder;
  private int ahead = FIRST_AHEAD;
  private long phaseSince;
  private long oddSince = NEVER;
  private long quietUntil;
  private boolean isSettling;
  private boolean canFinish;
  private boolean hadUnanswered;

  /** Where a switch stands. */
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
   * @param ranks how many ranks it has
   * @param tokens gives fencing tokens
   */
  public MapSwitch(int ranks, TokenSource tokens) {
    this.ranks = ranks;
    this.tokens = tokens;
    this.confirmed = new boolean[ranks];
    this.nextTry = new long[ranks];
    this.tries = new int[ranks];
    this.triedHold = new long[ranks];
    Arrays.fill(triedHold, NOT_HELD);
  }

  public Phase phase() {
    return phase;
  }

  /** Returns the version that is being brought in, or was last. */
  public long version() {
    return version;
  }

  /** Takes in what a rank said. */
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

  /** Whether all ranks have said lately that they use one map and nothing else is under way. */
  public boolean isReady(long now) {
    return phase == Phase.IDLE
        && now >= quietUntil
        && isComplete(now)
        && oddSince == NEVER
        && mapVersion().isPresent();
  }

  /** Returns the map in use, where all ranks agree. */
  public OptionalLong mapVersion() {
    long[] versions = views.values().stream().mapToLong(RankView::mapVersion).distinct().toArray();
    return versions.length == 1 && views.size() == ranks
        ? OptionalLong.of(versions[0])
        : OptionalLong.empty();
  }

  /** Returns the highest version that any rank has told of. */
  public long highestVersion() {
    return views.values().stream()
        .mapToLong(
            view ->
                Math.max(view.mapVersion(), Math.max(view.preparedVersion(), view.armedVersion())))
        .max()
        .orElse(0);
  }

  /** Returns the epoch that the ranks told of last. */
  public long epoch() {
    return views.values().stream().mapToLong(RankView::epoch).max().orElse(0);
  }

  /**
   * Starts to bring a map in; only when {@link #isReady}.
   *
   * @param newVersion higher than any version before
   */
  public void start(long newVersion, long now) {
    version = newVersion;
    epoch = epoch();
    token = tokens.next();
    isSettling = false;
    hadUnanswered = false;
    Arrays.fill(triedHold, NOT_HELD);
    enter(Phase.PREPARING, now);
  }

  /**
   * Decides the next commands.
   *
   * @return what to tell which rank, now
   */
  public List<RankCommand> tick(long now) {
    if (phase != Phase.IDLE && epoch() != epoch) {
      // The group formed anew: its ranks have map 0 and nothing prepared, armed or held.
      enter(Phase.IDLE, now);
    }
    return switch (phase) {
      case IDLE -> lookForLeftovers(now);
      case PREPARING -> prepare(now);
      case HOLDING -> hold(now);
      case ARMING -> arm(now);
      case DISARMING -> disarm(now);
      case RELEASING -> release(now);
      case SWITCHING -> awaitSwitch(now);
    };
  }

  /**
   * Takes in what came of a command.
   *
   * @param command the command as {@link #tick} gave it
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
      holder = (holder + 1) % ranks;
      enter(Phase.HOLDING, now);
      return hold(now);
    }
    if (now - phaseSince > PREPARE_MILLIS) {
      enter(Phase.IDLE, now);
      return List.of();
    }
    return toUnconfirmed(Kind.PREPARE, now, PREPARE_MILLIS);
  }

  private List<RankCommand> hold(long now) {
    if (now < nextTry[holder]) {
      return List.of();
    }
    if (nextTry[holder] > 0 && !isSettling) {
      // Unanswered. The hold may still come; it is released with the others. Another rank may be
      // quicker.
      nextTry[holder] = 0;
      holder = (holder + 1) % ranks;
      step = nextStep();
    }
    nextTry[holder] = now + REPEAT_MILLIS;
    triedHold[holder] = step;
    return List.of(command(holder, Kind.HOLD));
  }

  private List<RankCommand> arm(long now) {
    if (allConfirmed()) {
      adaptAhead();
      startRelease(now);
      return release(now);
    }
    return toUnconfirmed(Kind.ARM, now, REPEAT_MILLIS);
  }

  private List<RankCommand> disarm(long now) {
    if (allConfirmed()) {
      startRelease(now);
      return release(now);
    }
    return toUnconfirmed(Kind.DISARM, now, REPEAT_MILLIS);
  }

  private void startRelease(long now) {
    enter(Phase.RELEASING, now);
    for (int rank = 0; rank < ranks; rank++) {
      OptionalLong held = views.get(rank).heldStep();
      if (triedHold[rank] == NOT_HELD && held.isPresent()) {
        triedHold[rank] = held.getAsLong();
      }
      confirmed[rank] = triedHold[rank] == NOT_HELD;
    }
  }

  private List<RankCommand> release(long now) {
    if (allConfirmed()) {
      Arrays.fill(triedHold, NOT_HELD);
      enter(Phase.SWITCHING, now);
      return List.of();
    }
    return toUnconfirmed(Kind.RELEASE, now, REPEAT_MILLIS);
  }

  private void adaptAhead() {
    ahead = hadUnanswered ? CAREFUL_AHEAD : Math.max(FIRST_AHEAD, ahead - 1);
  }

  private List<RankCommand> awaitSwitch(long now) {
    boolean isOver =
        isComplete(now)
            && views.values().stream()
                .allMatch(view -> view.armedVersion() == 0 && view.at() > phaseSince)
            && mapVersion().isPresent();
    if (isOver) {
      enter(Phase.IDLE, now);
      return List.of();
    }
    // A hold of another leader may have come meanwhile; without this the switch would wait for it.
    return lookForLeftovers(now);
  }

  /** Settles what an earlier leader left, once it has looked the same for a while. */
  private List<RankCommand> lookForLeftovers(long now) {
    if (!hasLeftovers() || now < quietUntil) {
      oddSince = NEVER;
      return List.of();
    }
    oddSince = Math.min(oddSince, now);
    if (now - oddSince >= SETTLE_MILLIS && isComplete(now)) {
      oddSince = NEVER;
      settle(now);
    }
    return List.of();
  }

  /** Whether a step is held, or some ranks are armed and others not. */
  private boolean hasLeftovers() {
    boolean isHeld = views.values().stream().anyMatch(view -> view.heldStep().isPresent());
    long armedWays = views.values().stream().mapToLong(RankView::armedVersion).distinct().count();
    return isHeld || armedWays > 1;
  }

  private void settle(long now) {
    epoch = epoch();
    token = tokens.next();
    isSettling = true;
    Arrays.fill(triedHold, NOT_HELD);
    long armed = views.values().stream().mapToLong(RankView::armedVersion).max().orElse(0);
    version = armed > 0 ? armed : highestVersion();
    step =
        views.values().stream()
            .filter(view -> armed > 0 && view.armedVersion() == armed)
            .mapToLong(RankView::armedStep)
            .max()
            .orElse(0);
    canFinish = armed > 0 && views.values().stream().allMatch(this::canSwitch);
    if (armed == 0) {
      step =
          views.values().stream()
              .filter(view -> view.heldStep().isPresent())
              .mapToLong(view -> view.heldStep().getAsLong())
              .min()
              .orElse(0);
    }
    holder = holderFor(step);
    enter(Phase.HOLDING, now);
  }

  /**
   * Chooses the rank that this leader itself has hold a step, before it changes anything. A rank
   * that already holds it notes the new token by that, so that the last leader, should it still
   * run, can't release it while only some ranks have been told the new leader's will.
   */
  private int holderFor(long concerned) {
    return IntStream.range(0, ranks)
        .filter(rank -> views.get(rank).heldStep().equals(OptionalLong.of(concerned)))
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
      nextTry[rank] = now;
    } else if (result == Result.CONFLICT && tries[rank] == 1) {
      // A first try that is refused never takes: the rank has had a higher version, or is armed.
      // A later one may be refused because the first was carried out after all.
      enter(Phase.IDLE, now);
    }
  }

  private void onHoldResult(RankCommand command, Result result, long now) {
    if (command.kind() != Kind.HOLD || command.rank() != holder || command.step() != step) {
      return;
    }
    if (result == Result.DONE) {
      enter(isSettling && !canFinish ? Phase.DISARMING : Phase.ARMING, now);
    } else if (result == Result.CONFLICT && isSettling) {
      enter(Phase.IDLE, now);
    } else if (result == Result.CONFLICT) {
      triedHold[holder] = NOT_HELD;
      step = Math.max(step + 1, nextStep());
      nextTry[holder] = 0;
    }
  }

  private void onArmResult(RankCommand command, Result result, long now) {
    if (command.kind() != Kind.ARM || command.step() != step) {
      return;
    }
    if (result == Result.DONE) {
      confirmed[command.rank()] = true;
    } else if (result == Result.CONFLICT && !confirmed[command.rank()]) {
      // The rank can't switch to this map any more, so none may. The step stays held meanwhile.
      enter(Phase.DISARMING, now);
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

  /** Another leader is at work: leave the group to it, and look again later. */
  private void onFenced(long now) {
    tokens.outbid();
    quietUntil = now + YIELD_MILLIS;
    enter(Phase.IDLE, now);
  }

  private List<RankCommand> toUnconfirmed(Kind kind, long now, long repeatMillis) {
    List<RankCommand> commands = new ArrayList<>();
    for (int rank = 0; rank < ranks; rank++) {
      if (!confirmed[rank] && now >= nextTry[rank]) {
        nextTry[rank] = now + repeatMillis;
        tries[rank]++;
        commands.add(command(rank, kind));
      }
    }
    return commands;
  }

  private RankCommand command(int rank, Kind kind) {
    long concerned = kind == Kind.RELEASE ? triedHold[rank] : step;
    return new RankCommand(rank, kind, version, concerned, epoch, tokenFor(kind));
  }

  /**
   * Later commands of one switch have higher tokens, so that an earlier one still under way is
   * refused once a rank has answered them; all are below those of the next switch of any leader, so
   * that a leader which was overtaken can't release what its successor holds.
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
    return newestStep() + ahead;
  }

  private boolean isComplete(long now) {
    return views.size() == ranks
        && views.values().stream().mapToLong(RankView::epoch).distinct().count() == 1
        && views.values().stream()
            .allMatch(view -> view.isOpen() && now - view.at() <= FRESH_MILLIS);
  }

  private boolean allConfirmed() {
    return IntStream.range(0, ranks).allMatch(rank -> confirmed[rank]);
  }

  private void enter(Phase next, long now) {
    phase = next;
    phaseSince = now;
    Arrays.fill(confirmed, false);
    Arrays.fill(nextTry, 0);
    Arrays.fill(tries, 0);
  }
}
