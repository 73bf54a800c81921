package dev.ibishub.core.internal.experts;

import dev.ibishub.core.GroupCommand.Kind;
import dev.ibishub.core.RankStatus;
import java.util.Arrays;
import java.util.Map;

/**
 * Moves every rank of a group to one map version: completes a commit on ranks that lack it,
 * releases holds where nothing was decided, and gives the current map to a rank whose engine
 * restarted. Not thread-safe.
 */
public final class MapReconciler {
  private static final Action DONE = new Action(null, 0, 0);

  private final boolean[] commitAcknowledged;
  private long version;

  public MapReconciler(int ranks) {
    this.commitAcknowledged = new boolean[ranks];
  }

  /**
   * Next command for a rank.
   *
   * @param kind the operation, null when the rank needs none
   * @param version version of the map concerned
   * @param step the step concerned
   */
  public record Action(Kind kind, long version, long step) {
    /** Whether the rank needs no further command. */
    public boolean isDone() {
      return kind == null;
    }
  }

  /** Resets the state and sets the version to move to. */
  public void start(long targetVersion) {
    version = targetVersion;
    Arrays.fill(commitAcknowledged, false);
  }

  /** Records that a rank acknowledged a commit. */
  public void onCommitted(int rank, long committedVersion) {
    if (committedVersion == version) {
      commitAcknowledged[rank] = true;
    }
  }

  /**
   * Decides the next command for each rank.
   *
   * @param statuses the latest status of each rank
   * @param maps the known serialized maps, by version
   * @param heldStep the step that this leader had the ranks hold, 0 for none
   * @return the next command, by rank
   */
  public Action[] next(RankStatus[] statuses, Map<Long, byte[]> maps, long heldStep) {
    long olderVersion =
        Arrays.stream(statuses)
            .mapToLong(RankStatus::mapVersion)
            .filter(mapVersion -> mapVersion < version)
            .max()
            .orElse(0);
    boolean isVersionInUse =
        Arrays.stream(statuses).anyMatch(status -> status.mapVersion() == version);
    long commitStep =
        Arrays.stream(statuses)
            .filter(status -> status.committedMapVersion() == version)
            .mapToLong(RankStatus::committedStep)
            .max()
            .orElse(heldStep);
    Action[] next = new Action[statuses.length];
    for (int rank = 0; rank < statuses.length; rank++) {
      boolean beforeCommit = statuses[rank].isFresh() && statuses[rank].step() + 1 < commitStep;
      boolean needsOlderFirst = beforeCommit && !isVersionInUse && olderVersion > 0;
      next[rank] =
          needsOlderFirst
              ? rejoinOnOlderVersion(statuses[rank], olderVersion, commitStep, maps)
              : moveToVersion(rank, statuses[rank], maps);
    }
    return next;
  }

  private Action moveToVersion(int rank, RankStatus status, Map<Long, byte[]> maps) {
    if (status.mapVersion() == version) {
      return status.holdStep() == 0 ? DONE : new Action(Kind.RELEASE, version, status.holdStep());
    }
    if (commitAcknowledged[rank]) {
      return DONE;
    }
    // The commit that a rank reports may come from its agent, which outlives the engine's state;
    // only the staged version shows what the engine has.
    if (status.stagedMapVersion() != version) {
      return stage(version, maps);
    }
    return commit(status);
  }

  // A hold covers a single step, so the held step is the one at which the rank must switch.
  private Action commit(RankStatus status) {
    if (status.holdStep() > 0) {
      return new Action(Kind.COMMIT, version, status.holdStep());
    }
    if (status.isFresh()) {
      return new Action(Kind.COMMIT, version, status.step() + 1);
    }
    long step = status.committedStep();
    return status.committedMapVersion() == version
        ? new Action(Kind.COMMIT, version, step)
        : new Action(Kind.PREPARE, 0, 0);
  }

  // Guards against mixed maps in the steps before a pending commit: a restarted engine would use
  // the new map at once, while the others use the old one until the step of the commit. So it first
  // gets the old map and the same hold as the others, and the commit once it runs along with them.
  private Action rejoinOnOlderVersion(
      RankStatus status, long olderVersion, long commitStep, Map<Long, byte[]> maps) {
    if (status.committedMapVersion() == olderVersion) {
      return new Action(Kind.PREPARE, 0, 0);
    }
    if (status.holdStep() != commitStep) {
      return new Action(Kind.HOLD, version, commitStep);
    }
    return status.stagedMapVersion() == olderVersion
        ? new Action(Kind.COMMIT, olderVersion, status.step() + 1)
        : stage(olderVersion, maps);
  }

  private static Action stage(long version, Map<Long, byte[]> maps) {
    return maps.containsKey(version)
        ? new Action(Kind.STAGE, version, 0)
        : new Action(Kind.PREPARE, 0, 0);
  }
}
