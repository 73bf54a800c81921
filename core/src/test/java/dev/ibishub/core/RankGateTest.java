package dev.ibishub.core;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.core.GroupCommand.Kind;
import java.util.List;
import org.junit.jupiter.api.Test;

class RankGateTest {
  private final RankGate gate = RankGate.create("dictionary", 0);
  private long sequence;

  // An engine dies and is back with the map it starts with before its agent has noticed. The leader
  // still counts on the hold that it had, and would commit while this rank runs on.
  @Test
  void rankWhoseEngineStartedAnewIsNoMemberUntilItJoinsAnew() {
    send(Kind.PREPARE, 0, engine(1));
    send(Kind.JOIN, 1, engine(1));
    assertThat(send(Kind.HOLD, 1, engine(1))).isEqualTo(ResultCode.OK);

    assertThat(send(Kind.HOLD, 1, engine(2))).isEqualTo(ResultCode.UNKNOWN_INCARNATION);
    assertThat(send(Kind.JOIN, 1, engine(2))).isEqualTo(ResultCode.UNKNOWN_INCARNATION);
    assertThat(send(Kind.JOIN, 2, engine(2))).isEqualTo(ResultCode.OK);
  }

  // The commit's order to the engine is lost on the way. A new leader that heard of no commit would
  // release ranks to which the same commit has come.
  @Test
  void commitIsReportedFromBeforeTheEngineHasItUntilForget() {
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

  // A commit without its hold: the rank may have begun the step by the time the order arrives.
  @Test
  void commitForAStepThatIsNotHeldIsRefused() {
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

  /** Staged map 77, and step 9 held. */
  private static RankStatus engine(long start) {
    return new RankStatus(start, 3, 1, 77, 9, 0, 0, new byte[0], List.of(), 5);
  }
}
