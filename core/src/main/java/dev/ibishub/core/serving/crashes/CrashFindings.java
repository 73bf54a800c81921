package dev.ibishub.core.serving.crashes;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

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

  /**
   * Returns the same findings in order, in pages that take a limited time to merge.
   *
   * @param maximumTraits the most traits on a page; a single item may have more
   */
  public List<CrashFindings> pages(int maximumTraits) {
    List<List<CrashFindings>> pages = new ArrayList<>();
    int room = 0;
    for (CrashFindings item : items()) {
      if (item.traits() > room) {
        pages.add(new ArrayList<>());
        room = maximumTraits;
      }
      pages.get(pages.size() - 1).add(item);
      room -= item.traits();
    }
    return pages.stream().map(CrashFindings::joined).toList();
  }

  private List<CrashFindings> items() {
    return Stream.of(
            runs.stream().map(run -> of(List.of(run), List.of(), List.of())),
            cleared.stream().map(each -> of(List.of(), List.of(each), List.of())),
            probes.stream()
                .map(each -> new CrashFindings(List.of(), List.of(), List.of(each), List.of())),
            quarantines.stream().map(each -> of(List.of(), List.of(), List.of(each))))
        .flatMap(each -> each)
        .toList();
  }

  /** Returns the number of traits of all items, each time that they occur. */
  private int traits() {
    return runs.stream().mapToInt(run -> 1 + run.request().partIds().size()).sum()
        + cleared.size()
        + probes.size()
        + quarantines.stream().mapToInt(each -> each.traits().size()).sum();
  }

  private static CrashFindings joined(List<CrashFindings> all) {
    return new CrashFindings(
        all.stream().flatMap(each -> each.runs.stream()).toList(),
        all.stream().flatMap(each -> each.cleared.stream()).toList(),
        all.stream().flatMap(each -> each.probes.stream()).toList(),
        all.stream().flatMap(each -> each.quarantines.stream()).toList());
  }

  /** Whether there is nothing to tell. */
  public boolean isEmpty() {
    return runs.isEmpty() && cleared.isEmpty() && probes.isEmpty() && quarantines.isEmpty();
  }
}
