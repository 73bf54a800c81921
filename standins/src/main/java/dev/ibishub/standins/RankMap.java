package dev.ibishub.standins;

import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import dev.ibishub.engines.RankOrder;

/**
 * The expert map of one rank: what is staged, held and committed. It does what it is told, as a
 * real engine does; keeping the ranks of a group together is the leader's and the agents' work. Not
 * thread-safe: the group's lock guards it.
 */
final class RankMap {
  private final boolean checksFencing;
  private long highestFencingToken;
  private boolean lostMemory;
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

  /** Whether this rank may begin a step. */
  boolean canBegin(long step) {
    return !lostMemory && (holdStep == 0 || step < holdStep);
  }

  /** Begins a step and returns the version of the map that it uses. */
  long begin(long step) {
    if (committedVersion != 0 && step >= committedStep) {
      version = committedVersion;
      map = committedMap;
      committedVersion = 0;
      committedStep = 0;
    }
    return version;
  }

  /** Forgets all, as a rank that died and came back. It waits for a committed map. */
  void reset() {
    lostMemory = true;
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
    lostMemory = false;
  }

  // Only the hold of that step: a rank that joins gets the map in use while it holds a later step.
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
