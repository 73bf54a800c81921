package dev.ibishub.core.serving.crashes;

import java.util.LinkedHashMap;
import java.util.Map;

/** A map that evicts the entry that was put first once it exceeds its bound. */
final class BoundedMap<K, V> extends LinkedHashMap<K, V> {
  private static final long serialVersionUID = 1;

  private final int bound;

  BoundedMap(int bound) {
    this.bound = bound;
  }

  /** Puts a value and makes its key the last to be evicted. */
  V renew(K key, V value) {
    V before = remove(key);
    put(key, value);
    return before;
  }

  @Override
  protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
    return size() > bound;
  }
}
