package dev.ibishub.lockorder;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Finds cycles among pairs of locks, on which threads could wait for each other for ever. */
final class LockCycles {
  private final Map<String, List<LockPair>> pairsByOuter;

  LockCycles(Collection<LockPair> pairs) {
    pairsByOuter =
        pairs.stream()
            .distinct()
            .sorted((one, two) -> one.inner().compareTo(two.inner()))
            .collect(Collectors.groupingBy(LockPair::outer, TreeMap::new, Collectors.toList()));
  }

  /** Returns the shortest cycle through each lock that is on one, each cycle once. */
  List<List<LockPair>> find() {
    return pairsByOuter.keySet().stream()
        .map(this::shortestThrough)
        .flatMap(Optional::stream)
        .collect(Collectors.toMap(Set::copyOf, cycle -> cycle, (one, two) -> one, HashMap::new))
        .values()
        .stream()
        .sorted((one, two) -> one.get(0).outer().compareTo(two.get(0).outer()))
        .toList();
  }

  private Optional<List<LockPair>> shortestThrough(String lock) {
    Deque<List<LockPair>> paths = new ArrayDeque<>();
    Set<String> reached = new HashSet<>();
    paths.add(List.of());
    while (!paths.isEmpty()) {
      List<LockPair> path = paths.remove();
      String last = path.isEmpty() ? lock : path.get(path.size() - 1).inner();
      if (last.equals(lock) && !path.isEmpty()) {
        return Optional.of(path);
      }
      pairsByOuter.getOrDefault(last, List.of()).stream()
          .filter(pair -> reached.add(pair.inner()))
          .map(pair -> extended(path, pair))
          .forEach(paths::add);
    }
    return Optional.empty();
  }

  private static List<LockPair> extended(List<LockPair> path, LockPair next) {
    return Stream.concat(path.stream(), Stream.of(next)).toList();
  }
}
