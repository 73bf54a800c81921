package dev.ibishub.core.serving;

/**
 * What a target said of its own work.
 *
 * @param requests requests waiting and running there
 * @param pace how many times slower than usual it works, 1 for as usual
 * @param isOpen whether it takes requests; one whose group of ranks is broken does not
 * @param measuredAt when it said so, on this process's monotonic clock, milliseconds
 */
public record TargetReport(int requests, double pace, boolean isOpen, long measuredAt) {
  /** Makes the report of a target that takes requests and works as fast as usual. */
  public static TargetReport ofRequests(int requests, long measuredAt) {
    return new TargetReport(requests, 1, true, measuredAt);
  }
}
