package dev.ibishub.standins;

import dev.ibishub.engines.CacheEvents;
import dev.ibishub.engines.PromptPrefix;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Collections;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A rank's LRU cache of prompt prefixes and its events, which become visible with a lag and with
 * gaps.
 *
 * <p>Not thread-safe: the group's lock guards it.
 */
final class PrefixCache {
  private static final int MAXIMUM_EVENTS = 10_000;

  private final EngineOptions options;
  private final LinkedHashMap<Long, Boolean> prefixes = new LinkedHashMap<>(16, 0.75f, true);
  private final Deque<TimedEvent> events = new ArrayDeque<>();
  private long nextSequence;

  private record TimedEvent(Instant visibleAt, CacheEvents.Event event) {}

  PrefixCache(EngineOptions options) {
    this.options = options;
  }

  /**
   * Caches the prefixes of a prompt and returns how many of its first characters were cached
   * before.
   */
  int admit(String prompt, Instant now) {
    List<Integer> lengths = PromptPrefix.lengths(prompt);
    int hit =
        lengths.stream()
            .filter(length -> prefixes.containsKey(PromptPrefix.hash(prompt, length)))
            .max(Integer::compare)
            .orElse(0);
    // The shortest prefix is added last: most prompts share it, so it should be evicted last.
    lengths.stream()
        .sorted(Collections.reverseOrder())
        .forEach(length -> add(PromptPrefix.hash(prompt, length), now));
    return hit;
  }

  CacheEvents events(long fromSequence, Instant now) {
    List<CacheEvents.Event> visible =
        events.stream()
            .filter(event -> !event.visibleAt().isAfter(now))
            .map(TimedEvent::event)
            .filter(event -> event.sequence() >= fromSequence)
            .toList();
    long next = visible.isEmpty() ? fromSequence : visible.get(visible.size() - 1).sequence() + 1;
    return new CacheEvents(next, visible);
  }

  private void add(long prefix, Instant now) {
    boolean known = prefixes.get(prefix) != null;
    prefixes.put(prefix, true);
    if (known) {
      return;
    }
    publish(prefix, true, now);
    if (prefixes.size() > options.cachedPrefixes()) {
      Map.Entry<Long, Boolean> eldest = prefixes.entrySet().iterator().next();
      prefixes.remove(eldest.getKey());
      publish(eldest.getKey(), false, now);
    }
  }

  private void publish(long prefix, boolean added, Instant now) {
    long sequence = nextSequence++;
    int gapEvery = options.cacheEventGapEvery();
    if (gapEvery > 0 && sequence % gapEvery == gapEvery - 1) {
      return;
    }
    Instant visibleAt = now.plusMillis(options.cacheEventLagMillis());
    events.add(new TimedEvent(visibleAt, new CacheEvents.Event(sequence, prefix, added)));
    if (events.size() > MAXIMUM_EVENTS) {
      events.removeFirst();
    }
  }
}
