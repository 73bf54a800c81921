package dev.ibishub.core.serving.admission;

/**
 * Load of all targets of a service that accept requests, as their latest reports state it.
 *
 * @param targets number of these targets
 * @param requests requests that wait or run there
 * @param running requests that run there
 * @param measuredAt mean time of the reports, milliseconds
 * @param entries number of entries that send to these targets, at least 1
 * @param step the last step of a group of ranks that any of them reported; -1 if none did
 * @param steppedAt time of the newest report with a step, milliseconds
 */
public record ServiceLoad(
    int targets,
    double requests,
    double running,
    long measuredAt,
    int entries,
    long step,
    long steppedAt) {
  /** Load of a service none of whose targets accepts requests. */
  public static final ServiceLoad NONE = new ServiceLoad(0, 0, 0, 0, 1, -1, 0);

  /** Sums up the loads of targets. Not thread-safe. */
  public static final class Sum {
    private final int slots;
    private int targets;
    private double requests;
    private double running;
    private double ages;
    private long step = -1;
    private long steppedAt;

    /**
     * Creates an empty sum.
     *
     * @param slots number of requests that a target runs concurrently
     */
    public Sum(int slots) {
      this.slots = slots;
    }

    /**
     * Adds a target.
     *
     * @param targetRequests requests that wait or run there
     * @param ageMillis age of that figure, milliseconds
     */
    public void add(double targetRequests, long ageMillis) {
      targets++;
      requests += targetRequests;
      running += Math.min(slots, targetRequests);
      ages += ageMillis;
    }

    /** Adds the step that a target's group reported. */
    public void addStep(long reportedStep, long reportedAt) {
      step = Math.max(step, reportedStep);
      steppedAt = Math.max(steppedAt, reportedAt);
    }

    /** Returns the sum at the given time. */
    public ServiceLoad total(long now, int entries) {
      long meanAge = targets == 0 ? 0 : Math.round(ages / targets);
      return new ServiceLoad(
          targets, requests, running, now - meanAge, Math.max(1, entries), step, steppedAt);
    }
  }
}
