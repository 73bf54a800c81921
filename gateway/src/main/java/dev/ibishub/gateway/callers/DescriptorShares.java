package dev.ibishub.gateway.callers;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.lang.management.OperatingSystemMXBean;

/**
 * How the descriptors of a process are shared out. A third may be taken by callers' connections;
 * their connections to targets need as many and some more, for hedged requests. The rest is left to
 * files, links, the store and the ports for pages.
 *
 * @param descriptors the most descriptors that the process can open
 */
public record DescriptorShares(long descriptors) {
  /** Assumed where the process can't tell its limit. */
  private static final long UNKNOWN_LIMIT = 1_024;

  /** Beyond this, other resources of a process end first. */
  private static final long MAXIMUM_USED = 1 << 16;

  private static final long CALLER_DIVISOR = 3;
  private static final long PAGE_DIVISOR = 32;

  /** Checks the number. */
  public DescriptorShares {
    if (descriptors <= 0) {
      throw new IllegalArgumentException("expected a number of descriptors, not " + descriptors);
    }
  }

  /**
   * Returns the shares of this process.
   *
   * @param configured the most descriptors by the settings; 0 for the limit that the system has set
   */
  public static DescriptorShares of(long configured) {
    return configured > 0 ? new DescriptorShares(configured) : ofProcess();
  }

  private static DescriptorShares ofProcess() {
    OperatingSystemMXBean system = ManagementFactory.getOperatingSystemMXBean();
    long limit =
        system instanceof UnixOperatingSystemMXBean unix
            ? unix.getMaxFileDescriptorCount()
            : UNKNOWN_LIMIT;
    return new DescriptorShares(limit > 0 ? limit : UNKNOWN_LIMIT);
  }

  /**
   * Returns the most connections of callers.
   *
   * @param configured the number by the settings; 0 for the share
   */
  public int callerConnections(int configured) {
    return configured > 0 ? configured : share(CALLER_DIVISOR);
  }

  /**
   * Returns the most connections of each port for pages.
   *
   * @param configured the number by the settings; 0 for the share
   */
  public int pageConnections(int configured) {
    return configured > 0 ? configured : share(PAGE_DIVISOR);
  }

  private int share(long divisor) {
    return (int) Math.max(1, Math.min(descriptors, MAXIMUM_USED) / divisor);
  }
}
