package dev.ibishub.core.internal.experts;

import dev.ibishub.core.GroupCommand.Kind;
import dev.ibishub.core.RankStatus;
import java.util.Arrays;
import java.util.Map;

/**
 * Brings every rank of a group to one map: finishes a commit on ranks that lack it, releases holds
 * where none was decided, and gives a rank whose engine started anew the map in use. Not
 * thread-safe.
 */
public final class Mender {
  private static final Step DONE = new Step(null, 0, 0);

  private final boolean[] committed;
  private long version;

  public Mender(int ranks) {
    this.committed = new boolean[ranks];
  }

  /**
   * The next command for a rank.
   *
   * @param kind what to tell it, null when nothing is left to do
   * @param version the map concerned
   * @param step the step concerned
   */
  public record Step(Kind kind, long version, long step) {
    /** Nothing is left to do at this rank. */
    public boolean isDone() {
      return kind == null;
    }
  }

  /** Starts anew, towards a version. */
  public void start(long towards) {
    version = towards;
    Arrays.fill(committed, false);
  }

  /** Notes that a rank acknowledged a commit. */
  public void onCommitted(int rank, long committedVersion) {
    if (committedVersion == version) {
      committed[rank] = true;
    }
  }

  /**
   * Decides the next command for each rank.
   *
   * @param statuses the last state heard of each rank
   * @param maps the bytes known, by version
   * @param heldAt the step this leader itself had the ranks hold, 0 for none
   * @return a step a rank
   */
  public Step[] next(RankStatus[] statuses, Map<Long, byte[]> maps, long heldAt) {
    long older =
        Arrays.stream(statuses)
            .mapToLong(RankStatus::mapVersion)
            .filter(inUse -> inUse < version)
            .max()
            .orElse(0);
    boolean inUse = Arrays.stream(statuses).anyMatch(status -> status.mapVersion() == version);
    long commitStep =
        Arrays.stream(statuses)
            .filter(status -> status.committedMapVersion() == version)
            .mapToLong(RankStatus::committedStep)
            .max()
            .orElse(heldAt);
    Step[] next = new Step[statuses.length];
    for (int rank = 0; rank < statuses.length; rank++) {
      boolean beforeCommit = statuses[rank].isFresh() && statuses[rank].step() + 1 < commitStep;
      boolean waitsForOlder = beforeCommit && !inUse && older > 0;
      next[rank] =
          waitsForOlder
              ? bringIn(statuses[rank], older, commitStep, maps)
              : bringOver(rank, statuses[rank], maps);
    }
    return next;
  }

  private Step bringOver(int rank, RankStatus status, Map<Long, byte[]> maps) {
    if (status.mapVersion() == version) {
      return status.holdStep() == 0 ? DONE : new Step(Kind.RELEASE, version, status.holdStep());
    }
    if (committed[rank]) {
      return DONE;
    }
    // The commit that a rank reports may be the agent's memory, which outlives the engine's: only
    // what is staged tells what the engine has.
    if (status.stagedMapVersion() != version) {
      return stage(version, maps);
    }
    return commit(status);
  }

  // A hold is given for one step only, so a rank that holds tells at which step it must switch.
  private Step commit(RankStatus status) {
    if (status.holdStep() > 0) {
      return new Step(Kind.COMMIT, version, status.holdStep());
    }
    if (status.isFresh()) {
      return new Step(Kind.COMMIT, version, status.step() + 1);
    }
    long step = status.committedStep();
    return status.committedMapVersion() == version
        ? new Step(Kind.COMMIT, version, step)
        : new Step(Kind.PREPARE, 0, 0);
  }

  // Guards against a group that runs the steps before a pending commit with two maps: an engine
  // that
  // started anew would use the new map at once, the others the old one until the commit's step. So
  // it first gets the old map and the others' hold, and the commit once it runs with them.
  private Step bringIn(RankStatus status, long older, long commitStep, Map<Long, byte[]> maps) {
    if (status.committedMapVersion() == older) {
      return new Step(Kind.PREPARE, 0, 0);
    }
    if (status.holdStep() != commitStep) {
      return new Step(Kind.HOLD, version, commitStep);
    }
    return status.stagedMapVersion() == older
        ? new Step(Kind.COMMIT, older, status.step() + 1)
        : stage(older, maps);
  }

  private static Step stage(long version, Map<Long, byte[]> maps) {
    return maps.containsKey(version)
        ? new Step(Kind.STAGE, version, 0)
        : new Step(Kind.PREPARE, 0, 0);
  }
}
