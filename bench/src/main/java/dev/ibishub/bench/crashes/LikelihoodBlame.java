package dev.ibishub.bench.crashes;

import dev.ibishub.core.serving.CrashedRun;
import dev.ibishub.core.serving.RequestIdentity;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Weighs how likely a request is to be guilty: a crash beside few others says more than one beside
 * many, and one says less where targets crash often anyway.
 */
final class LikelihoodBlame implements BlamePolicy {
  /** Part of all requests that is taken to be guilty before anything is known. */
  private static final double PRIOR = 0.001;

  private final Map<RequestIdentity, Double> odds = new HashMap<>();
  private double runs = 1;
  private double crashedRuns;

  @Override
  public void onCompleted(RequestIdentity request) {
    runs++;
    odds.remove(request);
  }

  @Override
  public void onCrash(List<CrashedRun> ranThere) {
    runs += ranThere.size();
    crashedRuns += ranThere.size();
    double otherCause = crashedRuns / runs + PRIOR * (ranThere.size() - 1);
    ranThere.forEach(
        run ->
            odds.compute(
                run.request(),
                (any, before) -> (before == null ? PRIOR : before) / Math.min(1, otherCause)));
  }

  @Override
  public boolean isQuarantined(RequestIdentity request, long now) {
    return odds.getOrDefault(request, PRIOR) > 1;
  }
}
