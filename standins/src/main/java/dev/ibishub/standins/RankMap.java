package dev.ibishub.standins;

import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import dev.ibishub.engines.RankOrder;

/**
 * The expert map of one rank with its staged and committed successors and its hold.
 *
 * <p>It obeys each order on its own, as a real engine does; keeping the ranks of a group consistent
 * is the task of the leader and the agents. Not thread-safe: the group's lock guards it.
 */
final class RankMap {
  private final boolean checksFencing;
  private long highestFencingToken;
  private boolean needsCommit;
  private long version = 1;
  private byte[] map;
  private long stagedVersion;
  private byte[] stagedMap = {};
  private long holdStep;
  private long committedVersion;
  private long committedStep;
  private byte[] committedMap = {};

  RankMap(byte[] firstMap, boolean checksFencing) {
    this.map = firstMap;
    this.checksFencing = checksFencing;
  }

  long version() {
    return version;
  }

  byte[] map() {
    return map.clone();
  }

  long stagedVersion() {
    return stagedVersion;
  }

  long holdStep() {
    return holdStep;
  }

  long committedVersion() {
    return committedVersion;
  }

  long committedStep() {
    return committedStep;
  }

  /** Returns whether this rank may begin the given step. */
  boolean canBegin(long step) {
    return !needsCommit && (holdStep == 0 || step < holdStep);
  }

  /**
   * Begins a step, which activates a committed map that is due, and returns the version of the map
   * that the step uses.
   */
  long begin(long step) {
    if (committedVersion != 0 && step >= committedStep) {
      version = committedVersion;
      map = committedMap;
      committedVersion = 0;
      committedStep = 0;
    }
    return version;
  }

  /**
   * Clears all state, as a crash and restart of the rank does. No step begins until a map is
   * committed.
   */
  void reset() {
    needsCommit = true;
    highestFencingToken = 0;
    version = 0;
    map = new byte[0];
    stagedVersion = 0;
    holdStep = 0;
    committedVersion = 0;
    committedStep = 0;
  }

  void order(RankOrder order, long lastBegunStep) {
    if (checksFencing && order.fencingToken() < highestFencingToken) {
      throw new ResultException(
          ResultCode.STALE_FENCING_TOKEN,
          order.fencingToken() + " where " + highestFencingToken + " was seen");
    }
    highestFencingToken = Math.max(highestFencingToken, order.fencingToken());
    switch (order.kind()) {
      case STAGE -> stage(order);
      case HOLD -> hold(order, lastBegunStep);
      case COMMIT -> commit(order, lastBegunStep);
      case RELEASE -> holdStep = 0;
      default -> throw new IllegalArgumentException("unknown kind " + order.kind());
    }
  }

  private void stage(RankOrder order) {
    stagedVersion = order.mapVersion();
    stagedMap = order.map();
  }

  private void hold(RankOrder order, long lastBegunStep) {
    requireNotBegun(order.step(), lastBegunStep);
    holdStep = order.step();
  }

  private void commit(RankOrder order, long lastBegunStep) {
    boolean repeated =
        order.mapVersion() == version
            || (order.mapVersion() == committedVersion && order.step() == committedStep);
    if (repeated) {
      endHold(order.step());
      return;
    }
    requireNotBegun(order.step(), lastBegunStep);
    if (order.mapVersion() != stagedVersion) {
      throw new ResultException(
          ResultCode.MAP_NOT_STAGED, "version " + order.mapVersion() + " is not staged");
    }
    committedVersion = stagedVersion;
    committedMap = stagedMap;
    committedStep = order.step();
    endHold(order.step());
    needsCommit = false;
  }

  // Ends only the hold of this step: a joining rank is given the map in use while it holds a later
  // step.
  private void endHold(long step) {
    if (holdStep == step) {
      holdStep = 0;
    }
  }

  private static void requireNotBegun(long step, long lastBegunStep) {
    if (step <= lastBegunStep) {
      throw new ResultException(
          ResultCode.STEP_ALREADY_PASSED, "step " + step + " of " + lastBegunStep + " begun");
    }
  }
}
