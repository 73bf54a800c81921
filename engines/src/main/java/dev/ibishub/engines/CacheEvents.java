package dev.ibishub.engines;

import java.util.List;

/**
 * Prefix cache events of an engine. Lost events show as gaps in the sequence numbers.
 *
 * @param nextSequence the sequence number from which to read next
 * @param events the events, oldest first; may be empty
 */
public record CacheEvents(long nextSequence, List<Event> events) {
  public CacheEvents {
    events = List.copyOf(events);
  }

  /**
   * A prefix that was cached or evicted.
   *
   * @param sequence the sequence number of the event
   * @param prefixHash the hash of the prompt's prefix, as {@link PromptPrefix#hash} returns it
   * @param added true if cached, false if evicted
   */
  public record Event(long sequence, long prefixHash, boolean added) {}
}
