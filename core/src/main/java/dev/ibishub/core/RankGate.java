package dev.ibishub.core;

import dev.ibishub.core.GroupCommand.Kind;

/**
 * Gate in the agent that decides which commands of which group leader reach the rank's engine.
 * Engines may ignore fencing tokens, so only this gate fences off superseded leaders. It serves the
 * runs behind ibishub's own interface; on the platform of its users the engines fence by
 * themselves.
 *
 * <p>The caller reads the engine's state before each command, calls {@link #admit}, forwards the
 * command to the engine if {@link Verdict#forward} is set, reads the state again and calls {@link
 * #reply}. One command at a time. Not thread-safe.
 *
 * <pre>{@code
 * RankGate.Verdict verdict = gate.admit(command, before);
 * ResultCode code = verdict.forward() ? giveToEngine(command) : verdict.code();
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
  private long reportedCommitVersion;
  private long reportedCommitStep;

  private RankGate(String group, int rank) {
    this.group = group;
    this.rank = rank;
  }

  /**
   * Creates the gate of an agent that has just started and remembers no promises.
   *
   * @param group the group's name
   * @param rank the rank's number, from 0
   * @return a gate that accepts only {@code PREPARE} and {@code JOIN} at first
   */
  public static RankGate create(String group, int rank) {
    return new RankGate(group, rank);
  }

  /**
   * Decision on a command.
   *
   * @param code {@code OK}, or why the command is refused
   * @param forward whether to forward the command to the engine; if not, the engine is already in
   *     the requested state or the command is refused
   */
  public record Verdict(ResultCode code, boolean forward) {
    private static final Verdict FORWARD = new Verdict(ResultCode.OK, true);
    private static final Verdict ALREADY_DONE = new Verdict(ResultCode.OK, false);

    private static Verdict refuse(ResultCode code) {
      return new Verdict(code, false);
    }
  }

  /**
   * Decides on a command and records the promise that it entails.
   *
   * @param command the leader's command
   * @param engine the engine's state, read after the previous command ended
   * @return the decision; refusals have the code {@code STALE_EPOCH}, {@code UNKNOWN_INCARNATION},
   *     {@code STEP_ALREADY_PASSED}, {@code MAP_NOT_STAGED} or {@code PROTOCOL_VIOLATION}
   */
  public Verdict admit(GroupCommand command, RankStatus engine) {
    checkEngineRestart(engine);
    if (!command.group().equals(group)) {
      return Verdict.refuse(ResultCode.PROTOCOL_VIOLATION);
    }
    if (isStale(command)) {
      return Verdict.refuse(ResultCode.STALE_EPOCH);
    }
    if (command.kind() == Kind.PREPARE) {
      recordPromise(command);
      return member ? Verdict.ALREADY_DONE : Verdict.refuse(ResultCode.UNKNOWN_INCARNATION);
    }
    if (command.kind() == Kind.JOIN) {
      return join(command);
    }
    // Guards against a command that relies on a promise which this rank gave before it lost its
    // state: the leader may have the old reply and commit on the strength of it. A rank without
    // state belongs to no incarnation, and one that joined again belongs to a later one, so neither
    // obeys.
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
   * Builds the reply to a command.
   *
   * @param command the command to reply to
   * @param code the result of the command
   * @param engine the engine's state after the command
   * @return the reply, including the last commit that must still be reported
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
        withReportedCommit(engine));
  }

  public int rank() {
    return rank;
  }

  public long promisedEpoch() {
    return promisedEpoch;
  }

  // An engine that restarted has lost the holds that this rank promised, although the agent still
  // remembers them. The commit remains reported, because other ranks may not have received it yet.
  private void checkEngineRestart(RankStatus engine) {
    if (engine.engineStart() != engineStart) {
      engineStart = engine.engineStart();
      member = false;
    }
  }

  // Guards against a leader that was paused and does not know of its successor, and against a late
  // copy of a command that the same leader has since undone. Either would leave a hold or commit
  // that the current leader does not know of. The rank decides by the numbers alone, so no clock is
  // trusted.
  private boolean isStale(GroupCommand command) {
    return command.epoch() < promisedEpoch
        || (command.epoch() == promisedEpoch && command.sequence() < lastSequence);
  }

  private void recordPromise(GroupCommand command) {
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
    return Verdict.ALREADY_DONE;
  }

  private static Verdict stage(GroupCommand command, RankStatus engine) {
    boolean alreadyPresent =
        engine.stagedMapVersion() == command.mapVersion()
            || engine.mapVersion() == command.mapVersion();
    return alreadyPresent ? Verdict.ALREADY_DONE : Verdict.FORWARD;
  }

  private static Verdict hold(GroupCommand command, RankStatus engine) {
    // Guards against a second switch that overtakes the first: an engine keeps one commit, so the
    // next one would replace it before its step on some ranks and after it on others, and that step
    // would run with two maps. A commit needs the holds of all ranks, so one refusal prevents it.
    if (engine.committedMapVersion() != 0) {
      return Verdict.refuse(ResultCode.PROTOCOL_VIOLATION);
    }
    if (engine.step() >= command.step()) {
      return Verdict.refuse(ResultCode.STEP_ALREADY_PASSED);
    }
    return engine.holdStep() == command.step() ? Verdict.ALREADY_DONE : Verdict.FORWARD;
  }

  private Verdict commit(GroupCommand command, RankStatus engine) {
    if (engine.mapVersion() == command.mapVersion()
        || engine.committedMapVersion() == command.mapVersion()) {
      return Verdict.ALREADY_DONE;
    }
    if (engine.stagedMapVersion() != command.mapVersion()) {
      return Verdict.refuse(ResultCode.MAP_NOT_STAGED);
    }
    // Without the hold, the rank may have begun the step with the old map when the commit arrives.
    boolean held = engine.holdStep() == command.step() || engine.isFresh();
    if (!held || engine.step() >= command.step()) {
      return Verdict.refuse(ResultCode.STEP_ALREADY_PASSED);
    }
    recordCommit(command);
    return Verdict.FORWARD;
  }

  // Guards against forgetting a commit once it is applied: a leader that takes over would then hear
  // of no commit and release the other ranks, which would run the step with the old map. The commit
  // is recorded before it is sent to the engine, so a lost answer cannot hide it, and is kept until
  // FORGET says that all ranks have it.
  private void recordCommit(GroupCommand command) {
    if (command.mapVersion() > reportedCommitVersion) {
      reportedCommitVersion = command.mapVersion();
      reportedCommitStep = command.step();
    }
  }

  private Verdict release(RankStatus engine) {
    if (engine.holdStep() == 0) {
      return Verdict.ALREADY_DONE;
    }
    boolean committed =
        reportedCommitVersion > engine.mapVersion() && reportedCommitStep == engine.holdStep();
    return committed ? Verdict.refuse(ResultCode.PROTOCOL_VIOLATION) : Verdict.FORWARD;
  }

  private Verdict forget(GroupCommand command) {
    if (reportedCommitVersion <= command.mapVersion()) {
      reportedCommitVersion = 0;
      reportedCommitStep = 0;
    }
    return Verdict.ALREADY_DONE;
  }

  // After a restart of the agent, the engine's own pending commit replaces the lost record; once
  // that map is in use, the version in use tells the leader the same.
  private RankStatus withReportedCommit(RankStatus engine) {
    if (reportedCommitVersion <= engine.committedMapVersion()) {
      return engine;
    }
    return new RankStatus(
        engine.engineStart(),
        engine.step(),
        engine.mapVersion(),
        engine.stagedMapVersion(),
        engine.holdStep(),
        reportedCommitVersion,
        reportedCommitStep,
        engine.map(),
        engine.expertPopularity(),
        engine.stepMillis());
  }
}
