package dev.ibishub.standins;

import java.util.OptionalInt;

/** The faults in force at one stand-in. Thread-safe under its own lock. */
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

  /** Waits while frozen. */
  void awaitUnfrozen() throws InterruptedException {
    synchronized (lock) {
      while (faults.freeze()) {
        lock.wait();
      }
    }
  }

  /** Uses up one answer to lose; false when none is left. */
  boolean consumeLostAnswer() {
    synchronized (lock) {
      if (faults.loseNextAnswers() <= 0) {
        return false;
      }
      faults = faults.withLoseNextAnswers(faults.loseNextAnswers() - 1);
      return true;
    }
  }

  /** Uses up one stream to cut and tells after how many pieces; empty when none is left. */
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
