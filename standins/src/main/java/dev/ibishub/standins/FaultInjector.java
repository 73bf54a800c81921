package dev.ibishub.standins;

import java.util.OptionalInt;

/** Holds the faults that one stand-in currently injects. Thread-safe under its own lock. */
final class FaultInjector {
  private final Object lock = new Object();
  private Faults faults = Faults.none();

  Faults current() {
    synchronized (lock) {
      return faults;
    }
  }

  void set(Faults next) {
    synchronized (lock) {
      faults = next;
      lock.notifyAll();
    }
  }

  /** Blocks while the freeze fault is set. */
  void awaitUnfrozen() throws InterruptedException {
    synchronized (lock) {
      while (faults.freeze()) {
        lock.wait();
      }
    }
  }

  /** Consumes one lost answer; false when no answer is to be lost. */
  boolean consumeLostAnswer() {
    synchronized (lock) {
      if (faults.loseNextAnswers() <= 0) {
        return false;
      }
      faults = faults.withLoseNextAnswers(faults.loseNextAnswers() - 1);
      return true;
    }
  }

  /**
   * Consumes one stream to cut and returns after how many pieces to cut it; empty when none is to
   * be cut.
   */
  OptionalInt consumeStreamCut() {
    synchronized (lock) {
      if (faults.cutNextStreams() <= 0) {
        return OptionalInt.empty();
      }
      faults = faults.withCutNextStreams(faults.cutNextStreams() - 1);
      return OptionalInt.of(faults.cutAfterPieces());
    }
  }
}
