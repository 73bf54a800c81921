package dev.ibishub.gateway.front;

import java.util.OptionalLong;

/**
 * What the pieces of one attempt's answer tell admission: whether its stream makes progress, and
 * how long the engine's passes take. Runs on one event loop; not thread-safe.
 */
final class PassTimes {
  private final ServiceAdmission admission;
  private final String service;

  /** When the last piece came, milliseconds; empty before the first. */
  private OptionalLong pieceAt = OptionalLong.empty();

  /** Whether admission counts this attempt among the streams that show progress. */
  private boolean isCounted;

  /** Whether reading was stopped since the last piece, so that the pause is not the engine's. */
  private boolean wasSuspended;

  PassTimes(ServiceAdmission admission, String service) {
    this.admission = admission;
    this.service = service;
  }

  /** Whether a piece has come. */
  boolean hasBegun() {
    return pieceAt.isPresent();
  }

  void onPiece(long now) {
    if (pieceAt.isEmpty()) {
      isCounted = admission.onFirstPiece(service, now);
    } else if (!wasSuspended) {
      admission.onPause(service, now - pieceAt.getAsLong(), now);
    }
    wasSuspended = false;
    pieceAt = OptionalLong.of(now);
  }

  void onSuspended() {
    wasSuspended = true;
  }

  void onEnded() {
    if (isCounted) {
      admission.onEnded(service);
    }
  }
}
