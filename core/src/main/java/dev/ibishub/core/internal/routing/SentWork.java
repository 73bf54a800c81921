package dev.ibishub.core.internal.routing;

import java.time.Instant;
import java.util.ArrayDeque;

/**
 * What an entry sent to a target and the target's last report does not show yet. Not thread-safe.
 */
final class SentWork {
  private final ArrayDeque<Sent> sent = new ArrayDeque<>();
  private double tokens;

  void add(double moreTokens, Instant at) {
    sent.addLast(new Sent(moreTokens, at));
    tokens += moreTokens;
  }

  /** Forgets what a report that was measured at the given time has counted. */
  void forgetUntil(Instant measuredAt) {
    while (!sent.isEmpty() && !sent.peekFirst().at().isAfter(measuredAt)) {
      tokens -= sent.pollFirst().tokens();
    }
  }

  int count() {
    return sent.size();
  }

  double tokens() {
    return sent.isEmpty() ? 0 : tokens;
  }

  private record Sent(double tokens, Instant at) {}
}
