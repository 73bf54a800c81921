package dev.ibishub.core.serving.admission;

import java.util.HashSet;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;

/** The admission control, with or without waiting at the entry. */
final class ControlledRule implements EngineGroupModel.Rule {
  private static final long POLL = 20;
  private static final double QUEUE_LIMIT = 1;

  private final AdmissionControl<EngineGroupModel.Call> control;
  private final Random random = new Random(7);
  private final Set<EngineGroupModel.Call> begun = new HashSet<>();
  private ServiceLoad load = ServiceLoad.NONE;
  private long loadAt = -POLL;

  ControlledRule(boolean mayWait) {
    EngineTiming timing =
        new EngineTiming(
            EngineGroupModel.SLOTS,
            EngineGroupModel.BASE_PASS_MILLIS,
            EngineGroupModel.BASE_PASS_MILLIS
                + EngineGroupModel.SLOTS * EngineGroupModel.PASS_MILLIS_PER_REQUEST
                + 14,
            EngineGroupModel.PIECES,
            EngineGroupModel.PAUSE_OBJECTIVE);
    control =
        new AdmissionControl<>(
            new AdmissionPolicy(mayWait), new CapacityEstimate(timing), WorkspaceShares.EQUAL);
  }

  private ServiceLoad load(EngineGroupModel.Entry entry, long now) {
    if (now - loadAt >= POLL) {
      load = entry.load(now);
      loadAt = now;
    }
    return load;
  }

  @Override
  public void arrive(EngineGroupModel.Entry entry, EngineGroupModel.Call call, long now) {
    AdmissionControl.Offered<EngineGroupModel.Call> offered =
        control.offer(call, call.request(), load(entry, now), now, random::nextDouble);
    act(entry, call, offered.decision(), now);
    offered.displaced().ifPresent(due -> act(entry, due.waiting().item(), due.decision(), now));
    if (offered.decision() instanceof Decision.Send) {
      control.onStart(call.request(), now);
    }
  }

  private void act(
      EngineGroupModel.Entry entry, EngineGroupModel.Call call, Decision decision, long now) {
    call.isWaiting = decision instanceof Decision.Wait;
    if (decision instanceof Decision.Refuse refusal) {
      entry.refuse(call, refusal.retryAfterMillis(), now);
    } else if (decision instanceof Decision.Send) {
      OptionalInt rank = entry.choose(EngineGroupModel.SLOTS + QUEUE_LIMIT, now);
      if (rank.isPresent()) {
        entry.send(call, rank.getAsInt(), now);
      } else {
        entry.refuse(call, 600, now);
      }
    }
  }

  @Override
  public void tick(EngineGroupModel.Entry entry, long now) {
    if ((now + entry.number) % POLL == 0 && control.waiting() > 0) {
      control
          .takeDue(load(entry, now), now, random::nextDouble)
          .forEach(due -> act(entry, due.waiting().item(), due.decision(), now));
    }
  }

  @Override
  public void onPiece(EngineGroupModel.Call call, long pause, long now) {
    if (pause < 0) {
      begun.add(call);
      control.capacity().onFirstPiece(now);
    } else {
      control.capacity().onPause((double) pause, load, now);
    }
  }

  @Override
  public void onEnded(EngineGroupModel.Call call) {
    if (begun.remove(call)) {
      control.capacity().onBegunStreamEnded();
    }
  }

  @Override
  public void onLeft(EngineGroupModel.Call call) {
    control.remove(call);
  }
}
