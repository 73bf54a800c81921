package dev.ibishub.bench.crashes;

import dev.ibishub.core.serving.crashes.CrashedRun;
import dev.ibishub.core.serving.crashes.RequestIdentity;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates the odds that a request is guilty. A crash counts more if few other requests were in
 * flight, and less if targets crash often anyway.
 */
final class LikelihoodBlame implements BlamePolicy {
  /** Assumed share of guilty requests among all. */
  private static final double PRIOR = 0.001;

  private final Map<RequestIdentity, Double> odds = new HashMap<>();
  private double runs = 1;
  private double crashedRuns;

  @Override
  public void onCompleted(RequestIdentity request, long now) {
    runs++;
    odds.remove(request);
  }

  @Override
  public void onCrash(List<CrashedRun> inFlight) {
    runs += inFlight.size();
    crashedRuns += inFlight.size();
    double otherCause = crashedRuns / runs + PRIOR * (inFlight.size() - 1);
    inFlight.forEach(
        run ->
            odds.compute(
                run.request().identity(),
                (any, before) -> (before == null ? PRIOR : before) / Math.min(1, otherCause)));
  }

  @Override
  public boolean isQuarantined(RequestIdentity request, long now) {
    return odds.getOrDefault(request, PRIOR) > 1;
  }
}
