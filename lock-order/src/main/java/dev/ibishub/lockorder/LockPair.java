package dev.ibishub.lockorder;

import java.util.Objects;

/**
 * Two locks of which the inner one was taken while the outer one was held. With the same name they
 * are two instances of one class.
 */
record LockPair(String outer, String inner) {
  LockPair {
    Objects.requireNonNull(outer);
    Objects.requireNonNull(inner);
  }
}
