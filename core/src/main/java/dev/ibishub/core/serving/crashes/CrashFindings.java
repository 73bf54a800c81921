package dev.ibishub.core.serving.crashes;

import java.util.List;

/**
 * What entries tell each other about requests that crash targets. Times are milliseconds of this
 * process's monotonic clock.
 *
 * @param runs runs at targets that crashed
 * @param cleared traits that are no longer suspected
 * @param probes traits of which an entry has just sent a request while they are suspected
 * @param quarantines which requests are kept from targets
 */
public record CrashFindings(
    List<CrashedRun> runs,
    List<Clearing> cleared,
    List<Probe> probes,
    List<Quarantine> quarantines) {
  /** Findings without content. */
  public static final CrashFindings NONE =
      new CrashFindings(List.of(), List.of(), List.of(), List.of());

  /**
   * A trait that is no longer suspected.
   *
   * @param at when a target began to answer a request that has it
   */
  public record Clearing(RequestTrait trait, long at) {}

  /**
   * A trait of which one request is under way while it is suspected.
   *
   * @param until until when no other such request is sent
   */
  public record Probe(RequestTrait trait, long until) {}

  /** Copies the lists. */
  public CrashFindings {
    runs = List.copyOf(runs);
    cleared = List.copyOf(cleared);
    probes = List.copyOf(probes);
    quarantines = List.copyOf(quarantines);
  }

  static CrashFindings of(List<CrashedRun> runs, List<Clearing> cleared, List<Quarantine> decided) {
    return new CrashFindings(runs, cleared, List.of(), decided);
  }

  /** Whether there is nothing to tell. */
  public boolean isEmpty() {
    return runs.isEmpty() && cleared.isEmpty() && probes.isEmpty() && quarantines.isEmpty();
  }
}
