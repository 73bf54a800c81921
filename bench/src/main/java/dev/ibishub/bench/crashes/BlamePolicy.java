package dev.ibishub.bench.crashes;

import dev.ibishub.core.serving.crashes.CrashedRun;
import dev.ibishub.core.serving.crashes.RequestIdentity;
import dev.ibishub.core.serving.crashes.RequestQuarantine;
import dev.ibishub.core.serving.crashes.RequestTraits;
import dev.ibishub.core.serving.crashes.SendPermission;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A policy that decides which requests to quarantine, that is, send to no further target. Times are
 * in milliseconds.
 */
interface BlamePolicy {
  /** Handles a run that ended with an answer. */
  void onCompleted(RequestIdentity request, long now);

  /** Handles a crash of a target, with all runs that were in flight there. */
  void onCrash(List<CrashedRun> inFlight);

  boolean isQuarantined(RequestIdentity request, long now);

  /** Returns a policy that never quarantines, so that only the retry limit applies. */
  static BlamePolicy none() {
    return counting(Integer.MAX_VALUE);
  }

  /**
   * Returns a policy that quarantines a request after the given number of crashes. Only an answer
   * resets the count.
   */
  static BlamePolicy counting(int crashes) {
    Map<RequestIdentity, Integer> counts = new HashMap<>();
    return new BlamePolicy() {
      @Override
      public void onCompleted(RequestIdentity request, long now) {
        counts.remove(request);
      }

      @Override
      public void onCrash(List<CrashedRun> inFlight) {
        inFlight.forEach(run -> counts.merge(run.request().identity(), 1, Integer::sum));
      }

      @Override
      public boolean isQuarantined(RequestIdentity request, long now) {
        return counts.getOrDefault(request, 0) >= crashes;
      }
    };
  }

  /** Returns the policy that entries use on the platform, {@link RequestQuarantine}. */
  static BlamePolicy consecutive() {
    RequestQuarantine quarantine = new RequestQuarantine();
    return new BlamePolicy() {
      @Override
      public void onCompleted(RequestIdentity request, long now) {
        quarantine.onCompleted(request, now);
      }

      @Override
      public void onCrash(List<CrashedRun> inFlight) {
        inFlight.forEach(quarantine::onBroken);
        inFlight.stream()
            .findFirst()
            .ifPresent(run -> quarantine.onEnded(run.targetIncarnation(), run.brokenAt()));
      }

      @Override
      public boolean isQuarantined(RequestIdentity request, long now) {
        RequestTraits traits = new RequestTraits("", "", request, List.of());
        return quarantine.permission(traits, true, now) == SendPermission.QUARANTINED;
      }
    };
  }

  /** Returns a policy that quarantines requests that are more likely guilty than not. */
  static BlamePolicy likelihood() {
    return new LikelihoodBlame();
  }
}
