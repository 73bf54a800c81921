package dev.ibishub.gateway.front;

import java.util.LinkedHashSet;
import java.util.Set;

/** The ids of recent messages, to recognize copies. The oldest are evicted. Thread-safe. */
final class RecentIds {
  private final int maximum;
  private final Set<Long> ids = new LinkedHashSet<>();

  RecentIds(int maximum) {
    this.maximum = maximum;
  }

  /** Adds an id; returns whether it was not known. */
  synchronized boolean add(long id) {
    boolean isNew = ids.add(id);
    if (ids.size() > maximum) {
      ids.remove(ids.iterator().next());
    }
    return isNew;
  }
}
