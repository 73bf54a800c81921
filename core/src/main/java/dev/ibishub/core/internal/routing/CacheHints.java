package dev.ibishub.core.internal.routing;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Which targets are believed to hold a cached prefix. Cache events come late and with gaps, so this
 * is only a hint: a wrong one costs a prefill, never an answer. Bounded: the prefix that was
 * reported longest ago is dropped first. Thread-safe in shards, each under its own lock.
 */
public final class CacheHints {
  private static final int SHARDS = 16;
  private static final int MOST_HOLDERS = 4;

  private final List<Shard> shards;

  private CacheHints(int capacity) {
    int each = Math.max(1, capacity / SHARDS);
    shards = IntStream.range(0, SHARDS).mapToObj(number -> new Shard(each)).toList();
  }

  /** Creates hints for at most about the given number of prefixes. */
  public static CacheHints withCapacity(int capacity) {
    return new CacheHints(capacity);
  }

  /** Notes that a target holds a prefix. */
  public void added(long prefixHash, String target) {
    shard(prefixHash).added(prefixHash, target);
  }

  /** Notes that a target no longer holds a prefix. */
  public void evicted(long prefixHash, String target) {
    shard(prefixHash).evicted(prefixHash, target);
  }

  /** The targets that are believed to hold a prefix, newest first. */
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
      List<String> changed = Stream.concat(Stream.of(target), others).limit(MOST_HOLDERS).toList();
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
