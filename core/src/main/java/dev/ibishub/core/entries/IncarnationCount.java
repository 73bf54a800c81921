package dev.ibishub.core.entries;

/**
 * The number of incarnations of entries that may have spent from an allowance which all entries
 * share in a window of time. It is at least the number of entries, and an entry that restarted
 * within the window counts twice, as its predecessor may have spent there too. Used on the platform
 * of the users. Thread-safe by one lock.
 *
 * <pre>{@code
 * IncarnationCount incarnations = new IncarnationCount(10_000, 0);
 * incarnations.onSeen(6, 1, 0);
 * incarnations.get(); // 7
 * }</pre>
 */
public final class IncarnationCount {
  /** Windows for which an entry that is no longer seen counts, as it may only be cut off. */
  private static final int ENTRY_WINDOWS = 10;

  private final SlidingMaximum entries;
  private final SlidingMaximum restarts;
  private final long restartsFrom;
  private int entriesNow;

  /**
   * Creates an instance that has seen no entry.
   *
   * @param windowMillis length of the window, milliseconds
   * @param restartsFrom from when starts of entries count as restarts, milliseconds: one window
   *     after the first start of the whole system, at which no entry has a predecessor
   */
  public IncarnationCount(long windowMillis, long restartsFrom) {
    this.entries = new SlidingMaximum(ENTRY_WINDOWS * windowMillis);
    this.restarts = new SlidingMaximum(windowMillis);
    this.restartsFrom = restartsFrom;
  }

  /**
   * Takes in which entries are alive. To be called several times in each window.
   *
   * @param alive how many entries are alive, including this one
   * @param startedInWindow how many of them started within the last window
   * @param now the current time, milliseconds
   */
  public synchronized void onSeen(int alive, int startedInWindow, long now) {
    entriesNow = alive;
    entries.onSeen(alive, now);
    restarts.onSeen(now < restartsFrom ? 0 : startedInWindow, now);
  }

  /**
   * Returns the number as of the last {@link #onSeen}; 0 while this entry hears no other, as it
   * cannot know then how many there are.
   */
  public synchronized int get() {
    return entriesNow <= 1 ? 0 : entries.largest() + restarts.largest();
  }
}
