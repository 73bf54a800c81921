package dev.ibishub.core;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.core.GroupCommand.Kind;
import java.util.List;
import org.junit.jupiter.api.Test;

class RankGateTest {
  private final RankGate gate = RankGate.create("dictionary", 0);
  private long sequence;

  // Guards against a commit without a hold: an engine restarts with its initial map before its
  // agent notices. The leader still relies on the hold and would commit while this rank runs on.
  @Test
  void rankWithRestartedEngineIsNoMemberUntilItJoinsAgain() {
    send(Kind.PREPARE, 0, engine(1));
    send(Kind.JOIN, 1, engine(1));
    assertThat(send(Kind.HOLD, 1, engine(1))).isEqualTo(ResultCode.OK);

    assertThat(send(Kind.HOLD, 1, engine(2))).isEqualTo(ResultCode.UNKNOWN_INCARNATION);
    assertThat(send(Kind.JOIN, 1, engine(2))).isEqualTo(ResultCode.UNKNOWN_INCARNATION);
    assertThat(send(Kind.JOIN, 2, engine(2))).isEqualTo(ResultCode.OK);
  }

  // Guards against a lost commit: the answer of the engine is missing, and a new leader that hears
  // of no commit would release ranks that have received it.
  @Test
  void reportsCommitBeforeEngineHasItAndUntilForget() {
    send(Kind.PREPARE, 0, engine(1));
    send(Kind.JOIN, 1, engine(1));
    GroupCommand commit = command(Kind.COMMIT, 1);
    gate.admit(commit, engine(1));

    GroupReply reply = gate.reply(commit, ResultCode.ORDER_UNDECIDED, engine(1));
    assertThat(reply.status().committedMapVersion()).isEqualTo(77);

    GroupCommand forget = command(Kind.FORGET, 1);
    gate.admit(forget, engine(1));
    assertThat(gate.reply(forget, ResultCode.OK, engine(1)).status().committedMapVersion())
        .isZero();
  }

  // Guards against a commit without its hold: the rank may have begun the step when it arrives.
  @Test
  void refusesCommitForStepThatIsNotHeld() {
    send(Kind.PREPARE, 0, engine(1));
    send(Kind.JOIN, 1, engine(1));
    GroupCommand commit =
        new GroupCommand("dictionary", 1, 1, ++sequence, Kind.COMMIT, 77, 10, new byte[0]);

    assertThat(gate.admit(commit, engine(1)).code()).isEqualTo(ResultCode.STEP_ALREADY_PASSED);
  }

  private ResultCode send(Kind kind, long incarnation, RankStatus engine) {
    return gate.admit(command(kind, incarnation), engine).code();
  }

  private GroupCommand command(Kind kind, long incarnation) {
    sequence++;
    return new GroupCommand("dictionary", incarnation, 1, sequence, kind, 77, 9, new byte[0]);
  }

  /** Returns the status of an engine at step 3 that has staged map 77 and holds step 9. */
  private static RankStatus engine(long start) {
    return new RankStatus(start, 3, 1, 77, 9, 0, 0, new byte[0], List.of(), 5);
  }
}
