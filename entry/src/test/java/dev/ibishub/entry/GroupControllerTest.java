package dev.ibishub.entry;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.core.GroupLeader.Phase;
import dev.ibishub.core.GroupLeaderOptions;
import dev.ibishub.core.ResultCode;
import dev.ibishub.wire.generated.GroupCommand;
import dev.ibishub.wire.generated.GroupCommandKind;
import dev.ibishub.wire.generated.GroupReply;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

class GroupControllerTest {
  private final Deque<GroupCommand> sent = new ArrayDeque<>();
  private boolean chosen = true;
  private Instant now = Instant.EPOCH;
  private Optional<byte[]> plan = Optional.empty();
  private long promised;
  private final GroupController controller =
      new GroupController(
          "dictionary",
          1,
          5,
          GroupLeaderOptions.defaults(),
          () -> chosen,
          (rank, command) -> sent.add(command),
          (statuses, map, at) -> plan,
          Duration.ofSeconds(1),
          () -> now);

  @Test
  void entryThatIsNotChosenSendsNothing() {
    chosen = false;
    controller.tick();

    assertThat(sent).isEmpty();
    assertThat(controller.phase()).isEmpty();
  }

  @Test
  void chosenEntryTakesOverAndSwitchesToAPlannedMap() {
    plan = Optional.of(new byte[] {3});
    controller.tick();
    List<GroupCommandKind> kinds = answerAll();

    assertThat(kinds)
        .containsSubsequence(
            GroupCommandKind.GROUP_COMMAND_KIND_PREPARE,
            GroupCommandKind.GROUP_COMMAND_KIND_STAGE,
            GroupCommandKind.GROUP_COMMAND_KIND_HOLD,
            GroupCommandKind.GROUP_COMMAND_KIND_COMMIT,
            GroupCommandKind.GROUP_COMMAND_KIND_FORGET);
    assertThat(controller.phase()).contains(Phase.READY);
  }

  // A leader is paused, another entry takes over, and it wakes. It must not fight for the lead at
  // once, or the two would depose each other without end and no switch would ever be done.
  @Test
  void deposedLeaderPausesAndThenTakesAHigherEpoch() {
    controller.tick();
    long first = sent.peek().getEpoch();
    promised = first + (1L << 30);
    answerAll();
    sent.clear();
    controller.tick();
    assertThat(sent).isEmpty();

    now = now.plus(GroupLeaderOptions.defaults().holdFor());
    controller.tick();
    assertThat(sent.peek().getEpoch()).isGreaterThan(promised);
  }

  /** Answers as one rank would that obeys all, a bounded number of commands. */
  private List<GroupCommandKind> answerAll() {
    Deque<GroupCommand> answered = new ArrayDeque<>();
    long staged = 0;
    long hold = 0;
    long version = 1;
    for (int i = 0; i < 20 && !sent.isEmpty(); i++) {
      GroupCommand command = sent.poll();
      answered.add(command);
      switch (command.getKind()) {
        case GROUP_COMMAND_KIND_STAGE -> staged = command.getMapVersion();
        case GROUP_COMMAND_KIND_HOLD -> hold = command.getStep();
        case GROUP_COMMAND_KIND_COMMIT -> {
          version = command.getMapVersion();
          hold = 0;
        }
        default -> {
          // Changes nothing in the engine.
        }
      }
      controller.onReply(
          GroupReply.newBuilder()
              .setGroup(command.getGroup())
              .setGroupIncarnation(1)
              .setEpoch(command.getEpoch())
              .setSequence(command.getSequence())
              .setKind(command.getKind())
              .setResultCode(ResultCode.OK.number())
              .setHighestEpoch(Math.max(promised, command.getEpoch()))
              .setCurrentStep(3)
              .setCurrentMapVersion(version)
              .setStagedMapVersion(staged)
              .setHoldStep(hold)
              .setStepMillis(5)
              .build());
    }
    return answered.stream().map(GroupCommand::getKind).collect(Collectors.toList());
  }
}
