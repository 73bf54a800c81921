package dev.ibishub.core;

import dev.ibishub.core.GroupCommand.Kind;

/**
 * The agent's side of the switch of the expert map: decides which commands of which leader the
 * rank's engine gets. Engines may ignore fencing numbers, so this gate alone fences old leaders.
 *
 * <p>The caller reads the engine's state before each command, calls {@link #admit}, gives the
 * engine the order if {@link Verdict#order} says so, reads the state again and calls {@link
 * #reply}. One command at a time. Not thread-safe.
 *
 * <pre>{@code
 * RankGate.Verdict verdict = gate.admit(command, before);
 * ResultCode code = verdict.order() ? giveToEngine(command) : verdict.code();
 * GroupReply reply = gate.reply(command, code, readEngine());
 * }</pre>
 */
public final class RankGate {
  private final String group;
  private final int rank;
  private long engineStart;
  private boolean member;
  private long incarnation;
  private long promisedEpoch;
  private long lastSequence;
  private long reportedVersion;
  private long reportedStep;

  private RankGate(String group, int rank) {
    this.group = group;
    this.rank = rank;
  }

  /**
   * Creates the gate of an agent that has just started and so has no memory of promises.
   *
   * @param group the group's name
   * @param rank the rank's number
   * @return a gate that takes nothing but {@code PREPARE} and {@code JOIN}
   */
  public static RankGate create(String group, int rank) {
    return new RankGate(group, rank);
  }

  /**
   * What is to be done with a command.
   *
   * @param code {@code OK}, or why it is refused
   * @param order whether the engine is to be given the command's order; when not, it is already in
   *     the state asked for or the command is refused
   */
  public record Verdict(ResultCode code, boolean order) {
    private static final Verdict ORDER = new Verdict(ResultCode.OK, true);
    private static final Verdict DONE = new Verdict(ResultCode.OK, false);

    private static Verdict refuse(ResultCode code) {
      return new Verdict(code, false);
    }
  }

  /**
   * Decides on a command and keeps what the rank promises by it.
   *
   * @param command the leader's command
   * @param engine the engine's state, read after the previous order ended
   * @return what to do; refuses with {@code STALE_EPOCH}, {@code UNKNOWN_INCARNATION}, {@code
   *     STEP_ALREADY_PASSED}, {@code MAP_NOT_STAGED} or {@code PROTOCOL_VIOLATION}
   */
  public Verdict admit(GroupCommand command, RankStatus engine) {
    observe(engine);
    if (!command.group().equals(group)) {
      return Verdict.refuse(ResultCode.PROTOCOL_VIOLATION);
    }
    if (isStale(command)) {
      return Verdict.refuse(ResultCode.STALE_EPOCH);
    }
    if (command.kind() == Kind.PREPARE) {
      promise(command);
      return member ? Verdict.DONE : Verdict.refuse(ResultCode.UNKNOWN_INCARNATION);
    }
    if (command.kind() == Kind.JOIN) {
      return join(command);
    }
    // Guards against a command that counts on a promise which this rank gave before it lost its
    // memory: the leader may hold the old answer and commit on it. A rank without memory belongs to
    // no incarnation, and one that joined anew belongs to a later one, so neither obeys.
    if (!member || command.incarnation() != incarnation) {
      return Verdict.refuse(ResultCode.UNKNOWN_INCARNATION);
    }
    if (command.epoch() != promisedEpoch) {
      return Verdict.refuse(ResultCode.PROTOCOL_VIOLATION);
    }
    lastSequence = command.sequence();
    return switch (command.kind()) {
      case STAGE -> stage(command, engine);
      case HOLD -> hold(command, engine);
      case COMMIT -> commit(command, engine);
      case RELEASE -> release(engine);
      case FORGET -> forget(command);
      case PREPARE, JOIN -> Verdict.refuse(ResultCode.PROTOCOL_VIOLATION);
    };
  }

  /**
   * Makes the answer to a command.
   *
   * @param command the command answered
   * @param code how it ended
   * @param engine the engine's state after it
   * @return the answer, with the last commit that must still be reported
   */
  public GroupReply reply(GroupCommand command, ResultCode code, RankStatus engine) {
    return new GroupReply(
        group,
        incarnation,
        rank,
        command.epoch(),
        command.sequence(),
        command.kind(),
        code,
        promisedEpoch,
        report(engine));
  }

  public int rank() {
    return rank;
  }

  public long promisedEpoch() {
    return promisedEpoch;
  }

  // An engine that died has lost holds which this rank promised, though the agent remembers. The
  // commit stays reported: other ranks may have been told nothing of it yet.
  private void observe(RankStatus engine) {
    if (engine.engineStart() != engineStart) {
      engineStart = engine.engineStart();
      member = false;
    }
  }

  // Guards against a leader that was paused and is unaware of its successor, and against a late
  // copy
  // of a command that a later one of the same leader has undone. Both show as a hold or commit that
  // the present leader knows nothing of. The rank alone decides, by number, so no clock is trusted.
  private boolean isStale(GroupCommand command) {
    return command.epoch() < promisedEpoch
        || (command.epoch() == promisedEpoch && command.sequence() < lastSequence);
  }

  private void promise(GroupCommand command) {
    promisedEpoch = command.epoch();
    lastSequence = command.sequence();
  }

  private Verdict join(GroupCommand command) {
    if (command.epoch() != promisedEpoch) {
      return Verdict.refuse(ResultCode.PROTOCOL_VIOLATION);
    }
    boolean repeated = member && command.incarnation() == incarnation;
    if (!repeated && command.incarnation() <= incarnation) {
      return Verdict.refuse(ResultCode.UNKNOWN_INCARNATION);
    }
    lastSequence = command.sequence();
    incarnation = command.incarnation();
    member = true;
    return Verdict.DONE;
  }

  private static Verdict stage(GroupCommand command, RankStatus engine) {
    boolean known =
        engine.stagedMapVersion() == command.mapVersion()
            || engine.mapVersion() == command.mapVersion();
    return known ? Verdict.DONE : Verdict.ORDER;
  }

  private static Verdict hold(GroupCommand command, RankStatus engine) {
    // Guards against a second switch that overtakes the first: an engine keeps one commit, so the
    // next would replace it on some ranks before its step and on others after it, and that step
    // would run on two maps. All ranks must hold, so one refusal keeps the next commit off.
    if (engine.committedMapVersion() != 0) {
      return Verdict.refuse(ResultCode.PROTOCOL_VIOLATION);
    }
    if (engine.step() >= command.step()) {
      return Verdict.refuse(ResultCode.STEP_ALREADY_PASSED);
    }
    return engine.holdStep() == command.step() ? Verdict.DONE : Verdict.ORDER;
  }

  private Verdict commit(GroupCommand command, RankStatus engine) {
    if (engine.mapVersion() == command.mapVersion()
        || engine.committedMapVersion() == command.mapVersion()) {
      return Verdict.DONE;
    }
    if (engine.stagedMapVersion() != command.mapVersion()) {
      return Verdict.refuse(ResultCode.MAP_NOT_STAGED);
    }
    // Without its hold a rank may have begun the step on the old map by the time the order arrives.
    boolean held = engine.holdStep() == command.step() || engine.isFresh();
    if (!held || engine.step() >= command.step()) {
      return Verdict.refuse(ResultCode.STEP_ALREADY_PASSED);
    }
    remember(command);
    return Verdict.ORDER;
  }

  // Guards against forgetting a commit when it is applied: a leader that takes over then hears of
  // no
  // commit and releases the other ranks, which run the step on the old map. It is remembered before
  // the engine is told, so a lost answer cannot hide it, and until FORGET says that all have it.
  private void remember(GroupCommand command) {
    if (command.mapVersion() > reportedVersion) {
      reportedVersion = command.mapVersion();
      reportedStep = command.step();
    }
  }

  private Verdict release(RankStatus engine) {
    if (engine.holdStep() == 0) {
      return Verdict.DONE;
    }
    boolean committed = reportedVersion > engine.mapVersion() && reportedStep == engine.holdStep();
    return committed ? Verdict.refuse(ResultCode.PROTOCOL_VIOLATION) : Verdict.ORDER;
  }

  private Verdict forget(GroupCommand command) {
    if (reportedVersion <= command.mapVersion()) {
      reportedVersion = 0;
      reportedStep = 0;
    }
    return Verdict.DONE;
  }

  // After a restart of the agent the engine's own pending commit stands in for the lost memory;
  // once
  // it is in use, the version in use tells the leader the same.
  private RankStatus report(RankStatus engine) {
    if (reportedVersion <= engine.committedMapVersion()) {
      return engine;
    }
    return new RankStatus(
        engine.engineStart(),
        engine.step(),
        engine.mapVersion(),
        engine.stagedMapVersion(),
        engine.holdStep(),
        reportedVersion,
        reportedStep,
        engine.map(),
        engine.expertPopularity(),
        engine.stepMillis());
  }
}
