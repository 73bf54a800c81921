package dev.ibishub.engines;

import java.util.List;

/**
 * Cache events of an engine. Gaps show as missing sequence numbers.
 *
 * @param nextSequence from where to read on
 * @param events the events, oldest first
 */
public record CacheEvents(long nextSequence, List<Event> events) {
  public CacheEvents {
    events = List.copyOf(events);
  }

  /**
   * A prefix came or went.
   *
   * @param sequence number of the event
   * @param prefixHash hash of the prompt's prefix
   * @param added true when cached, false when evicted
   */
  public record Event(long sequence, long prefixHash, boolean added) {}
}
