package dev.ibishub.core.entries;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * The entries that may be sending requests at present, whether this entry hears them or not. It is
 * the basis of limits that must hold even while entries are cut off from each other. Thread-safe by
 * one lock.
 *
 * <p>An entry that is no longer heard may only be cut off, so it counts for {@link
 * #RETENTION_MILLIS} more. An entry that has just started takes no part until the others have heard
 * of it, see {@link #participants}.
 *
 * <pre>{@code
 * RememberedEntries entries = new RememberedEntries("10.0.0.1", 0);
 * entries.onNamed(List.of("10.0.0.3"), 0);
 * entries.onHeard(Set.of("10.0.0.2"), 200);
 * entries.participants(300); // empty
 * entries.participants(1_700); // 10.0.0.1, 10.0.0.2 and 10.0.0.3
 * }</pre>
 */
public final class RememberedEntries {
  /**
   * Time without any sign of an entry after which it no longer counts, milliseconds. The limits
   * hold while entries are cut off from each other for less than this. Longer times would leave the
   * shares of VMs that were replaced unused for longer.
   */
  public static final long RETENTION_MILLIS = 600_000;

  /**
   * Time from the first heartbeat of another entry until this one takes part, milliseconds. By then
   * all entries that it is linked to have heard of it: views are up to 0.9 s late. It is also
   * longer than the second in which limits are counted, so that this entry and the process that ran
   * in its place before never spend in the same one.
   */
  public static final long SETTLING_MILLIS = 1_500;

  /**
   * Time from the start until an entry that hears no other takes part, milliseconds; two attempts
   * to link to each of the seeds.
   */
  public static final long SOLITARY_SETTLING_MILLIS = 4_000;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final String ownHost;
  private final long startedAt;
  private final Map<String, Long> lastSignByHost = new HashMap<>();
  private Set<String> hosts;
  private long firstHeardAt = NEVER;

  /**
   * Creates an instance that knows no other entry.
   *
   * @param ownHost this entry's IP address
   * @param startedAt when this process started, milliseconds
   */
  public RememberedEntries(String ownHost, long startedAt) {
    this.ownHost = ownHost;
    this.startedAt = startedAt;
    this.hosts = Set.of(ownHost);
  }

  /** Records hosts of entries that there may be, such as seeds and those that the store lists. */
  public synchronized void onNamed(Collection<String> named, long now) {
    boolean isAnyNew = false;
    for (String host : named) {
      isAnyNew |= lastSignByHost.put(host, now) == null;
    }
    if (isAnyNew) {
      updateHosts();
    }
  }

  /**
   * Records the entries that are heard at present. To be called regularly, as it also evicts
   * entries that were not heard for a long time.
   *
   * @param heard hosts of entries, with or without this one
   */
  public synchronized void onHeard(Set<String> heard, long now) {
    boolean isAlone = heard.stream().allMatch(ownHost::equals);
    if (!isAlone && firstHeardAt == NEVER) {
      firstHeardAt = now;
    }
    onNamed(heard, now);
    if (lastSignByHost.values().removeIf(lastSign -> now - lastSign > RETENTION_MILLIS)) {
      updateHosts();
    }
  }

  /**
   * Returns the entries that share limits at present, including this one; empty while this one has
   * no share, as it started too recently. The set stays the same object while it does not change.
   */
  public synchronized Set<String> participants(long now) {
    boolean hasSettled =
        firstHeardAt == NEVER
            ? now - startedAt >= SOLITARY_SETTLING_MILLIS
            : now - firstHeardAt >= SETTLING_MILLIS;
    return hasSettled ? hosts : Set.of();
  }

  private void updateHosts() {
    Map<String, Long> withOwn = new HashMap<>(lastSignByHost);
    withOwn.put(ownHost, 0L);
    hosts = Set.copyOf(withOwn.keySet());
  }
}
