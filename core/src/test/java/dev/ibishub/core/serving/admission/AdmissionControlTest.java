package dev.ibishub.core.serving.admission;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.core.serving.TargetLoad;
import dev.ibishub.core.serving.TargetReport;
import java.util.List;
import org.junit.jupiter.api.Test;

final class AdmissionControlTest {
  private static final EngineTiming TIMING = new EngineTiming(4, 40, 80, 20, 120);
  private static final long DEADLINE = 8_000;
  private static final long PATIENCE = 2_000;

  private final CapacityEstimate capacity = new CapacityEstimate(TIMING);
  private final AdmissionControl<String> control =
      new AdmissionControl<>(new AdmissionPolicy(true), capacity, WorkspaceShares.EQUAL);

  private static AdmissionRequest request(int priority, long now, boolean isReturning) {
    return new AdmissionRequest(
        priority, "", now, now + DEADLINE, 1_000, PATIENCE, isReturning, 100);
  }

  private static ServiceLoad load(double requests, long now, long step) {
    ServiceLoad.Sum sum = new ServiceLoad.Sum(TIMING.slots());
    for (int target = 0; target < 10; target++) {
      sum.add(requests / 10, 0);
    }
    if (step >= 0) {
      sum.addStep(step, now);
    }
    return sum.total(now, 2);
  }

  private static ServiceLoad full(long now) {
    return load(60, now, -1);
  }

  private static ServiceLoad idle(long now) {
    return load(0, now, -1);
  }

  private Decision offer(String item, int priority, ServiceLoad load, long now) {
    Decision decision =
        control.offer(item, request(priority, now, false), load, now, () -> 0.5).decision();
    if (decision instanceof Decision.Send) {
      control.onStart(request(priority, now, false), now);
    }
    return decision;
  }

  /** Uses up the credit that an entry begins with, so that further requests wait. */
  private void spendCredit() {
    offer("first", 0, full(0), 0);
    control.onFurtherStart(0);
    control.onFurtherStart(0);
  }

  private List<String> started(ServiceLoad load, long now) {
    return control.takeDue(load, now, () -> 0.5).stream()
        .filter(due -> due.decision() instanceof Decision.Send)
        .map(due -> due.waiting().item())
        .toList();
  }

  @Test
  void requestsAreSentWhileCapacityIsFree() {
    for (int request = 0; request < 5; request++) {
      assertThat(offer("r" + request, request % 2, idle(request), request))
          .isInstanceOf(Decision.Send.class);
    }
  }

  // Guards against a more urgent request that is late because less urgent ones came before it.
  @Test
  void moreUrgentRequestStartsFirst() {
    spendCredit();
    offer("late", 2, full(1), 1);
    offer("urgent", 1, full(2), 2);

    assertThat(started(idle(200), 200)).startsWith("urgent");
  }

  // Guards against a caller that is refused twice and lost, although others arrived later.
  @Test
  void requestWithTheEarlierDeadlineStartsFirst() {
    spendCredit();
    offer("second", 2, full(20), 20);
    offer("first", 2, full(10), 10);

    assertThat(started(idle(200), 200)).startsWith("first");
  }

  // Guards against an estimate that two pieces delivered together after a freeze of this process
  // make infinite, after which no request was admitted any more.
  @Test
  void piecesDeliveredTogetherAreNoPassOfNoDuration() {
    capacity.onFirstPiece(0);
    capacity.onPause(3_000, full(3_000), 3_000);
    capacity.onPause(0, full(3_000), 3_000);

    assertThat(capacity.passMillis(3_000)).isEqualTo(TIMING.fullPassMillis());
    spendCredit();
    assertThat(offer("one", 2, idle(3_000), 3_000)).isInstanceOf(Decision.Send.class);
  }

  // Guards against a queue that holds requests which can't be in time any more.
  @Test
  void requestThatWaitedTooLongIsRefusedWithinTheTimeThatCallersHonour() {
    spendCredit();
    assertThat(offer("waiting", 2, full(1), 1)).isInstanceOf(Decision.Wait.class);

    List<AdmissionControl.Due<String>> due = control.takeDue(full(950), 950, () -> 0.5);

    assertThat(due).hasSize(1);
    Decision.Refuse refusal = (Decision.Refuse) due.get(0).decision();
    assertThat(refusal.reason()).isEqualTo(Decision.Reason.OVERDUE);
    assertThat(refusal.retryAfterMillis()).isBetween(1L, (DEADLINE - 949) / 3);
  }

  // Guards against a request that takes the place of others after its caller has left.
  @Test
  void requestWhoseCallerLeftFreesItsPlace() {
    spendCredit();
    offer("gone", 1, full(1), 1);
    offer("waiting", 1, full(2), 2);

    assertThat(control.remove("gone")).isTrue();
    assertThat(control.waiting()).isEqualTo(1);
    assertThat(started(idle(200), 200)).containsExactly("waiting");
  }

  // Guards against requests that are sent to engines which stand still, where callers leave before
  // the first piece, and against a refusal of callers that do not return once more.
  @Test
  void whileEnginesStandStillNewRequestsAreRefusedAndReturningOnesWait() {
    for (int stream = 0; stream < 5; stream++) {
      capacity.onFirstPiece(0);
    }
    long now = CapacityEstimate.STALL_MILLIS + 1;

    assertThat(offer("new", 0, idle(now), now))
        .isInstanceOfSatisfying(
            Decision.Refuse.class,
            refusal -> {
              assertThat(refusal.reason()).isEqualTo(Decision.Reason.STALLED);
              assertThat(refusal.retryAfterMillis()).isBetween(2_300L, 2_667L);
            });
    assertThat(
            control.offer("returning", request(0, now, true), idle(now), now, () -> 0.5).decision())
        .isInstanceOf(Decision.Wait.class);
    assertThat(started(idle(now + 20), now + 20)).isEmpty();

    capacity.onPause(90, idle(now + 40), now + 40);
    assertThat(started(idle(now + 40), now + 40)).containsExactly("returning");
  }

  // Guards against an entry that refuses everything for good: all its streams ended during a stall,
  // so that no piece can show progress. The reported step does.
  @Test
  void reportedStepEndsStallOfEntryWithoutStreams() {
    for (int stream = 0; stream < 5; stream++) {
      capacity.onFirstPiece(0);
    }
    long now = CapacityEstimate.STALL_MILLIS + 1;
    assertThat(capacity.isStalled(load(20, now, 60), now)).isTrue();
    for (int stream = 0; stream < 5; stream++) {
      capacity.onBegunStreamEnded();
    }

    assertThat(capacity.isStalled(load(20, now + 200, 66), now + 200)).isTrue();
    assertThat(capacity.isStalled(load(20, now + 400, 66), now + 400)).isTrue();
    assertThat(capacity.isStalled(load(20, now + 600, 72), now + 600)).isFalse();
  }

  // Guards against the same while reports state no step, or none arrive.
  @Test
  void stallEndsWhenNothingIsLeftThatCouldShowProgress() {
    for (int stream = 0; stream < 5; stream++) {
      capacity.onFirstPiece(0);
    }
    long now = CapacityEstimate.STALL_MILLIS + 1;
    assertThat(capacity.isStalled(full(now), now)).isTrue();
    for (int stream = 0; stream < 5; stream++) {
      capacity.onBegunStreamEnded();
    }

    assertThat(capacity.isStalled(full(now + 20), now + 20)).isFalse();
  }

  // Guards against requests that wait at an entry until its process ends.
  @Test
  void stoppingEntryRefusesAllThatWait() {
    spendCredit();
    offer("one", 1, full(1), 1);
    offer("two", 2, full(2), 2);

    assertThat(control.stop(3, () -> 0.5))
        .extracting(due -> ((Decision.Refuse) due.decision()).reason())
        .containsExactly(Decision.Reason.STOPPING, Decision.Reason.STOPPING);
    assertThat(control.waiting()).isZero();
  }

  // Guards against a queue without bound, and against one that is full of less urgent requests.
  @Test
  void fullQueueGivesThePlaceOfTheLastToTheMoreUrgent() {
    AdmissionQueue<String> queue = new AdmissionQueue<>(1);
    queue.add(new AdmissionQueue.Waiting<>("late", request(2, 0, false), 0, 0, 0));

    assertThat(
            queue
                .add(new AdmissionQueue.Waiting<>("urgent", request(0, 1, false), 0, 1, 0))
                .map(AdmissionQueue.Waiting::item))
        .contains("late");
    assertThat(
            queue
                .add(new AdmissionQueue.Waiting<>("last", request(2, 2, false), 0, 2, 0))
                .map(AdmissionQueue.Waiting::item))
        .contains("last");
  }

  // Guards against pauses beyond their objective: 80 ms of a pass of 120 ms are for 4 requests.
  @Test
  void fewerRequestsMayRunWhenPassesAreLong() {
    for (long now = 0; now < 2_000; now += 160) {
      capacity.onPause(160, full(now), now);
    }

    assertThat(capacity.requestsPerTarget(2_000)).isBetween(2.5, 2.8);
  }

  // Guards against an entry that takes targets for idle because their reports are missing.
  @Test
  void withoutReportsOwnRequestsCountForAllEntries() {
    TargetLoad silent = new TargetLoad();
    silent.onSent(0);
    silent.onSent(0);
    ServiceLoad.Sum sum = new ServiceLoad.Sum(TIMING.slots());
    silent.addTo(sum, 1_000, 5);

    assertThat(sum.total(1_000, 5).requests()).isEqualTo(10);
  }

  // Guards against capacity that is counted although nothing can be sent there.
  @Test
  void closedTargetIsNoCapacity() {
    TargetLoad closed = new TargetLoad();
    closed.onReport(new TargetReport(0, 1, false, 1_000));
    ServiceLoad.Sum sum = new ServiceLoad.Sum(TIMING.slots());
    closed.addTo(sum, 1_000, 5);

    assertThat(sum.total(1_000, 5).targets()).isZero();
  }

  // Guards against an estimate by pass times of long ago.
  @Test
  void statedTimingAppliesWithoutRecentPieces() {
    capacity.onPause(160, full(0), 0);

    assertThat(capacity.passMillis(10_000)).isEqualTo(TIMING.fullPassMillis());
    assertThat(capacity.requestsPerTarget(10_000)).isEqualTo(TIMING.slots());
  }

  // Guards against late requests that are taken for new ones, and the other way round.
  @Test
  void callerWithLessTimeThanUsualIsReturning() {
    UsualWait usual = new UsualWait();

    assertThat(usual.isReturning(8_000)).isFalse();
    assertThat(usual.isReturning(6_000)).isTrue();
    assertThat(usual.isReturning(7_990)).isFalse();
  }
}
