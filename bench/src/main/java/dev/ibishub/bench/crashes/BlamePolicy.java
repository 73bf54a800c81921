package dev.ibishub.bench.crashes;

import dev.ibishub.core.serving.CrashBlame;
import dev.ibishub.core.serving.CrashedRun;
import dev.ibishub.core.serving.RequestIdentity;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A way to decide which requests are sent to no further target. Times are milliseconds. */
interface BlamePolicy {
  /** Takes in a run that ended with an answer. */
  void onCompleted(RequestIdentity request);

  /** Takes in all that ran at a target as it crashed. */
  void onCrash(List<CrashedRun> ranThere);

  boolean isQuarantined(RequestIdentity request, long now);

  /** The retry rule alone: nothing is remembered. */
  static BlamePolicy none() {
    return counting(Integer.MAX_VALUE);
  }

  /** Quarantines after so many crashes in any order, for good. */
  static BlamePolicy counting(int crashes) {
    Map<RequestIdentity, Integer> counts = new HashMap<>();
    return new BlamePolicy() {
      @Override
      public void onCompleted(RequestIdentity request) {
        counts.remove(request);
      }

      @Override
      public void onCrash(List<CrashedRun> ranThere) {
        ranThere.forEach(run -> counts.merge(run.request(), 1, Integer::sum));
      }

      @Override
      public boolean isQuarantined(RequestIdentity request, long now) {
        return counts.getOrDefault(request, 0) >= crashes;
      }
    };
  }

  /** What entries do. */
  static BlamePolicy inARow() {
    CrashBlame blame = new CrashBlame();
    return new BlamePolicy() {
      @Override
      public void onCompleted(RequestIdentity request) {
        blame.onCompleted(request);
      }

      @Override
      public void onCrash(List<CrashedRun> ranThere) {
        ranThere.forEach(blame::onBroken);
        ranThere.stream().findFirst().ifPresent(run -> blame.onCrashed(run.targetLife()));
      }

      @Override
      public boolean isQuarantined(RequestIdentity request, long now) {
        return blame.isQuarantined(request, now);
      }
    };
  }

  /** Quarantines what is more likely to be guilty than not, see {@link LikelihoodBlame}. */
  static BlamePolicy likelihood() {
    return new LikelihoodBlame();
  }
}
