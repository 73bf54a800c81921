package dev.ibishub.bench.routing;

import com.dynatrace.hash4j.hashing.Hashing;
import dev.ibishub.bench.model.ModelRequest;
import dev.ibishub.bench.model.TargetModel;
import dev.ibishub.core.RouteQuery;
import dev.ibishub.core.Router;
import dev.ibishub.core.RouterOptions;
import dev.ibishub.core.TargetStatus;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * The router of ibishub's own interface, the baselines, and an oracle that knows the actual state
 * of all targets.
 */
final class RoutePolicies {
  static final String IBISHUB = "ibishub";
  static final String ORACLE = "oracle";

  static final List<RoutePolicy.Kind> ALL =
      List.of(
          new RoutePolicy.Kind("random", (run, entry) -> atRandom(run, entry)),
          new RoutePolicy.Kind("round robin", (run, entry) -> roundRobin(run, entry)),
          new RoutePolicy.Kind("least connections", (run, entry) -> new LeastConnections(run)),
          new RoutePolicy.Kind("consistent hashing", (run, entry) -> consistentHashing(run)),
          new RoutePolicy.Kind(IBISHUB, (run, entry) -> new IbishubPolicy(run, entry)),
          new RoutePolicy.Kind(ORACLE, (run, entry) -> oracle(run)));

  private RoutePolicies() {}

  private static RoutePolicy atRandom(RouteRun run, int entry) {
    Random random = new Random(run.seed() + entry);
    return (request, served, excluded) -> {
      List<TargetModel> available = run.available(served, excluded);
      return available.get(random.nextInt(available.size())).id();
    };
  }

  private static RoutePolicy roundRobin(RouteRun run, int entry) {
    int[] next = {entry};
    return (request, served, excluded) -> {
      List<TargetModel> available = run.available(served, excluded);
      return available.get(next[0]++ % available.size()).id();
    };
  }

  private static RoutePolicy consistentHashing(RouteRun run) {
    return (request, served, excluded) ->
        run.available(served, excluded).stream()
            .max(Comparator.comparingLong(target -> score(target.id(), request.prefixHash())))
            .orElseThrow()
            .id();
  }

  private static long score(String target, long prefix) {
    return Hashing.komihash5_0()
        .hashLongLongToLong(Hashing.komihash5_0().hashCharsToLong(target), prefix);
  }

  private static RoutePolicy oracle(RouteRun run) {
    return (request, served, excluded) ->
        run.available(served, excluded).stream()
            .min(Comparator.comparingDouble(target -> target.firstTokenSeconds(request)))
            .orElseThrow()
            .id();
  }

  private static final class LeastConnections implements RoutePolicy {
    private final RouteRun run;
    private final Map<String, Integer> connections = new HashMap<>();

    LeastConnections(RouteRun run) {
      this.run = run;
    }

    @Override
    public String choose(ModelRequest request, String served, Set<String> excluded) {
      return run.available(served, excluded).stream()
          .map(TargetModel::id)
          .min(Comparator.comparingInt(target -> connections.getOrDefault(target, 0)))
          .orElseThrow();
    }

    @Override
    public void report(TargetStatus status) {
      connections.put(status.target(), status.queued() + status.running());
    }
  }

  private static final class IbishubPolicy implements RoutePolicy {
    private final RouteRun run;
    private final String zone;
    private final Random random;
    private final Router router = Router.create(RouterOptions.defaults());

    IbishubPolicy(RouteRun run, int entry) {
      this.run = run;
      this.zone = RouteRun.zone(entry);
      this.random = new Random(run.seed() + entry);
      router.setEntries(RouteRun.ENTRIES);
    }

    @Override
    public String choose(ModelRequest request, String served, Set<String> excluded) {
      RouteQuery query =
          new RouteQuery(served, zone, request.prefixHash(), request.estimatedTokens(), excluded);
      String chosen = router.choose(query, run.now(), random).orElseThrow();
      router.sent(chosen, request.estimatedTokens(), run.now());
      return chosen;
    }

    @Override
    public void report(TargetStatus status) {
      router.report(status, run.now());
    }

    @Override
    public void cached(String target, Collection<Long> added) {
      router.cacheReport(target, added, List.of());
    }

    @Override
    public void ended(String target, ModelRequest request, boolean failed) {
      router.finished(target, request.actualTokens(), failed, run.now(), run.now());
    }

    @Override
    public void removed(String target) {
      router.remove(target);
    }
  }
}
