package dev.ibishub.gateway.callers;

import java.util.Locale;

/** What a limit on callers' memory or connections has led to. */
public enum CallerLimitEvent {
  /** A connection was closed, as it had no request and a new one needed its place. */
  CONNECTION_DISPLACED,
  /** A new connection was refused, as all others had requests. */
  CONNECTION_REFUSED,
  /** A connection was closed, as it held the most memory. */
  MEMORY_CLOSED,
  /** A request was rejected, as there was no memory for it. */
  MEMORY_REJECTED,
  /** A response was passed on as it came, as there was no memory to buffer it. */
  RESPONSE_UNBUFFERED,
  /** A request waited, as its caller had not read earlier responses. */
  REQUEST_HELD_BACK,
  /** A connection was closed, as its caller had read nothing of a response for long. */
  RESPONSE_STALLED;

  /** Returns the value of the metric's label. */
  String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
