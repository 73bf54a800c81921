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
  private boolean elected = true;
  private Instant now = Instant.EPOCH;
  private Optional<byte[]> plan = Optional.empty();
  private long highestEpochAtRank;
  private final GroupController controller =
      new GroupController(
          "dictionary",
          1,
          5,
          GroupLeaderOptions.defaults(),
          () -> elected,
          (rank, command) -> sent.add(command),
          (statuses, map, at) -> plan,
          Duration.ofSeconds(1),
          () -> now);

  @Test
  void entryThatIsNotElectedSendsNothing() {
    elected = false;
    controller.tick();

    assertThat(sent).isEmpty();
    assertThat(controller.phase()).isEmpty();
  }

  @Test
  void electedEntryLeadsAndSwitchesToPlannedMap() {
    plan = Optional.of(new byte[] {3});
    controller.tick();
    List<GroupCommandKind> kinds = replyToAll();

    assertThat(kinds)
        .containsSubsequence(
            GroupCommandKind.GROUP_COMMAND_KIND_PREPARE,
            GroupCommandKind.GROUP_COMMAND_KIND_STAGE,
            GroupCommandKind.GROUP_COMMAND_KIND_HOLD,
            GroupCommandKind.GROUP_COMMAND_KIND_COMMIT,
            GroupCommandKind.GROUP_COMMAND_KIND_FORGET);
    assertThat(controller.phase()).contains(Phase.READY);
  }

  // Guards against two leaders deposing each other without end, so that no switch completes: a
  // leader pauses, another entry takes over, and the first one resumes.
  @Test
  void deposedLeaderBacksOffAndThenTakesHigherEpoch() {
    controller.tick();
    long first = sent.peek().getEpoch();
    highestEpochAtRank = first + (1L << 30);
    replyToAll();
    sent.clear();
    controller.tick();
    assertThat(sent).isEmpty();

    now = now.plus(GroupLeaderOptions.defaults().holdTimeout());
    controller.tick();
    assertThat(sent.peek().getEpoch()).isGreaterThan(highestEpochAtRank);
  }

  /** Replies to at most 20 commands as one rank that accepts them all. */
  private List<GroupCommandKind> replyToAll() {
    Deque<GroupCommand> handled = new ArrayDeque<>();
    long staged = 0;
    long hold = 0;
    long version = 1;
    for (int i = 0; i < 20 && !sent.isEmpty(); i++) {
      GroupCommand command = sent.poll();
      handled.add(command);
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
              .setHighestEpoch(Math.max(highestEpochAtRank, command.getEpoch()))
              .setCurrentStep(3)
              .setCurrentMapVersion(version)
              .setStagedMapVersion(staged)
              .setHoldStep(hold)
              .setStepMillis(5)
              .build());
    }
    return handled.stream().map(GroupCommand::getKind).collect(Collectors.toList());
  }
}
