package dev.ibishub.gateway.model;

/**
 * What the operators state of a service's model engines.
 *
 * @param slots requests that an engine runs at once
 * @param stepMillis time of one step without requests, milliseconds
 * @param requestMillis what each running request adds to a step, milliseconds
 * @param stepsPerPass steps of a pass that writes
 * @param usualAnswerTokens mean length of an answer
 * @param layers sets of layers that have experts of their own; 0 for engines without experts
 * @param experts experts in each set
 * @param placesPerRank the most experts of a set that a rank holds
 * @param newPerSet the most experts of a set that a rank may fetch for one map
 * @param expertMegabytes size of an expert
 * @param linkMegabits speed at which experts are fetched, megabits a second
 */
public record EngineProfile(
    int slots,
    double stepMillis,
    double requestMillis,
    int stepsPerPass,
    int usualAnswerTokens,
    int layers,
    int experts,
    int placesPerRank,
    int newPerSet,
    double expertMegabytes,
    double linkMegabits) {

  private static final double BITS_PER_BYTE = 8;
  private static final double MILLIS_PER_SECOND = 1_000;

  /** Whether the engines form groups that share experts. */
  public boolean hasExperts() {
    return layers > 0 && experts > 0;
  }

  /** Returns how long a rank takes to fetch one expert, milliseconds. */
  public double fetchMillis() {
    return linkMegabits <= 0
        ? 0
        : expertMegabytes * BITS_PER_BYTE / linkMegabits * MILLIS_PER_SECOND;
  }
}
