package dev.ibishub.core.internal.routing;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Hints about which targets have a prefix cached. Cache events are delayed and have gaps, so a hint
 * may be wrong, which costs a prefill but never a wrong answer. Bounded: the prefix whose last
 * report is oldest is evicted first. Thread-safe: prefixes are spread over shards, each under its
 * own lock.
 */
public final class CacheHints {
  private static final int SHARDS = 16;
  private static final int MAXIMUM_HOLDERS = 4;

  private final List<Shard> shards;

  private CacheHints(int capacity) {
    int capacityPerShard = Math.max(1, capacity / SHARDS);
    shards = IntStream.range(0, SHARDS).mapToObj(number -> new Shard(capacityPerShard)).toList();
  }

  /** Creates an empty table of hints for about the given number of prefixes at most. */
  public static CacheHints withCapacity(int capacity) {
    return new CacheHints(capacity);
  }

  /** Records that a target has a prefix cached. */
  public void added(long prefixHash, String target) {
    shard(prefixHash).added(prefixHash, target);
  }

  /** Records that a target no longer has a prefix cached. */
  public void evicted(long prefixHash, String target) {
    shard(prefixHash).evicted(prefixHash, target);
  }

  /**
   * Returns the targets that have a prefix cached according to their reports, last reported first.
   */
  public List<String> holders(long prefixHash) {
    return shard(prefixHash).holders(prefixHash);
  }

  private Shard shard(long prefixHash) {
    return shards.get((int) Long.remainderUnsigned(prefixHash, SHARDS));
  }

  private static final class Shard {
    private final Map<Long, List<String>> holders;

    Shard(int capacity) {
      holders =
          new LinkedHashMap<>() {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, List<String>> eldest) {
              return size() > capacity;
            }
          };
    }

    synchronized void added(long prefixHash, String target) {
      Stream<String> others = holders(prefixHash).stream().filter(holder -> !holder.equals(target));
      List<String> changed =
          Stream.concat(Stream.of(target), others).limit(MAXIMUM_HOLDERS).toList();
      holders.remove(prefixHash);
      holders.put(prefixHash, changed);
    }

    synchronized void evicted(long prefixHash, String target) {
      List<String> changed =
          holders(prefixHash).stream().filter(holder -> !holder.equals(target)).toList();
      if (changed.isEmpty()) {
        holders.remove(prefixHash);
      } else {
        holders.replace(prefixHash, changed);
      }
    }

    synchronized List<String> holders(long prefixHash) {
      return holders.getOrDefault(prefixHash, List.of());
    }
  }
}
