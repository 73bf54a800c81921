package dev.ibishub.gateway.front;

import com.google.common.flogger.FluentLogger;
import dev.ibishub.core.entries.LogPosition;
import dev.ibishub.core.serving.EvacuatedZones;
import dev.ibishub.core.serving.GroupOpenness;
import dev.ibishub.core.serving.SharedLimits;
import dev.ibishub.core.serving.TargetChoice;
import dev.ibishub.core.serving.TargetLoad;
import dev.ibishub.core.serving.TargetReport;
import dev.ibishub.gateway.model.Target;
import dev.ibishub.runtime.LogEvent;
import dev.ibishub.runtime.MonotonicClock;
import io.netty.util.NetUtil;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Targets that may receive requests, each with its estimated load. Thread-safe by one lock; the
 * lists that it returns don't change.
 *
 * <p>Of several records with one address the newest stands for a live target. The record of a
 * target that ended without notice stays in the store for some seconds while its successor is
 * already listed. An entry process that starts then reads both, and all requests and orders to the
 * first would be refused (half of the first second's requests after a loss of power).
 *
 * <p>A record of another writer may bear the address of a live target, too. It displaces none: one
 * that renews its record after another with its address was announced stays listed, and so does
 * each target next to a record whose service the configuration doesn't name or whose target a
 * response has shown not to be there.
 */
public final class TargetDirectory {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * How long a target whose record expired during an outage of the store stays in use after the
   * store is back, milliseconds. A live target announces itself again within about two seconds.
   */
  public static final long EXPIRED_GRACE_MILLIS = 2_200;

  /**
   * How long the load of a target is retained after its record is gone, milliseconds, as the same
   * incarnation of the target may announce itself again.
   */
  static final long LOAD_RETENTION_MILLIS = 600_000;

  /**
   * Outage of the store beyond which records may have expired because they could not be renewed,
   * milliseconds. It is shorter than the three heartbeats after which the record of a silent target
   * is dropped.
   */
  static final long OUTAGE_MILLIS = 2_000;

  /**
   * Time that is added to the end of a cold period as a record states it, milliseconds. Later
   * records that extend it by less change nothing, as records are read up to half a second late and
   * each change has to be forwarded to all entries.
   */
  static final long COLD_MARGIN_MILLIS = 250;

  private final String ownZone;
  private final Consumer<String> onIncarnationEnded;
  private final ColdListener coldListener;
  private final Map<String, ListedTarget> known = new HashMap<>();
  private final Map<String, RetainedLoad> retainedLoadsByIncarnation = new HashMap<>();
  private volatile Indexes indexes = new Indexes(Map.of(), Set.of(), Map.of());
  private volatile EvacuatedZones evacuatedZones = EvacuatedZones.NONE;

  /** The services that the configuration names; empty until it is known. */
  private Optional<Set<String>> services = Optional.empty();

  private final Map<String, GroupOpenness> groups = new ConcurrentHashMap<>();

  /**
   * A target and its estimated load.
   *
   * @param target what it announced
   * @param load its load; starts anew with each of its incarnations, that is, runs of its process
   * @param usedUntil when it counts as gone, on the monotonic clock, milliseconds; {@link
   *     Long#MAX_VALUE} for a target with a current record
   * @param firstPosition the position among all records of the first one of this incarnation in the
   *     log's present epoch
   * @param position the position of its newest record among all records
   */
  public record ListedTarget(
      Target target,
      TargetLoad load,
      long usedUntil,
      LogPosition firstPosition,
      LogPosition position) {
    /** Whether it takes no new requests, by its record or by one of its responses. */
    boolean isLeaving() {
      return target.leaving() || load.saysLeaving();
    }

    /** Returns the address for requests. */
    InetSocketAddress address() {
      return target.address();
    }

    /**
     * Returns the later of two incarnations at one address: by their start times if both are known
     * and differ, else by their records.
     */
    private static ListedTarget later(ListedTarget first, ListedTarget second) {
      long firstStarted = first.target.startedAtMillis();
      long secondStarted = second.target.startedAtMillis();
      boolean startsDiffer = firstStarted > 0 && secondStarted > 0 && firstStarted != secondStarted;
      boolean isLater =
          startsDiffer ? firstStarted > secondStarted : first.position.isAfter(second.position);
      return isLater ? first : second;
    }

    /**
     * Whether it renewed its record after another one was announced, and so is no predecessor of
     * that one. A single record proves nothing: the store may carry out a write seconds late.
     */
    private boolean hasRenewedSince(ListedTarget other) {
      return position.isAfter(firstPosition)
          && position.epoch() == other.firstPosition.epoch()
          && position.isAfter(other.firstPosition);
    }

    private ListedTarget usedUntil(long end) {
      return new ListedTarget(target, load, end, firstPosition, position);
    }
  }

  /**
   * The ends of the cold periods by incarnation, on the monotonic clock, milliseconds, as far as
   * records stated them. Other entries know them from the same records, but not what responses
   * stated.
   */
  private final Map<String, Long> recordedColdEnds = new HashMap<>();

  /**
   * Until when other entries may send as many requests to an address as to a warm target, on the
   * monotonic clock, milliseconds: they learn up to this late that the target there turned cold or
   * is gone.
   */
  private final Map<InetSocketAddress, Long> usualRequestsUntil = new HashMap<>();

  private record RetainedLoad(TargetLoad load, long at) {}

  /**
   * What is looked up for requests and reports, computed from all known targets.
   *
   * @param usableByService the targets that take new requests
   * @param evacuatedServices the services whose targets are all in evacuated zones
   * @param byHost the targets at each IP address
   */
  private record Indexes(
      Map<String, List<ListedTarget>> usableByService,
      Set<String> evacuatedServices,
      Map<String, List<ListedTarget>> byHost) {}

  /**
   * Creates an empty directory.
   *
   * @param ownZone the failure domain of this process
   */
  public TargetDirectory(String ownZone) {
    this(ownZone, incarnation -> {});
  }

  /**
   * Creates an empty directory.
   *
   * @param ownZone the failure domain of this process
   * @param onIncarnationEnded called with each incarnation of a target that ended without notice,
   *     once its successor at the same address is announced; see {@link Target#incarnation}
   */
  public TargetDirectory(String ownZone, Consumer<String> onIncarnationEnded) {
    this(ownZone, onIncarnationEnded, (target, wasInUse, until, now) -> {});
  }

  /**
   * Creates an empty directory.
   *
   * @param ownZone the failure domain of this process
   * @param onIncarnationEnded as above
   * @param coldListener called with each statement that a target is cold
   */
  public TargetDirectory(
      String ownZone, Consumer<String> onIncarnationEnded, ColdListener coldListener) {
    this.ownZone = ownZone;
    this.onIncarnationEnded = onIncarnationEnded;
    this.coldListener = coldListener;
  }

  public String ownZone() {
    return ownZone;
  }

  /**
   * Takes in the record by which a target announces itself. A target that has announced that it is
   * leaving does so until the end of its incarnation, whatever a later record says: the log may
   * have come back from an older copy.
   *
   * @param position the position of the record among all records; later ones have higher positions
   */
  public synchronized void onAnnounced(Target target, LogPosition position) {
    ListedTarget before = known.get(target.id());
    boolean isNewIncarnation =
        before == null || target.startedAtMillis() > before.target().startedAtMillis();
    if (!isNewIncarnation && target.startedAtMillis() < before.target().startedAtMillis()) {
      return;
    }
    if (!isNewIncarnation && before.target().leaving() && !target.leaving()) {
      logger.atInfo().log(
          "%s",
          LogEvent.of("target.still_leaving")
              .with("target", target.id())
              .with("epoch", position.epoch())
              .with("offset", position.offset()));
      return;
    }
    if (isNewIncarnation && before != null) {
      endColdPeriod(before.target().incarnation());
    }
    TargetLoad load = isNewIncarnation ? takeRetainedLoad(target.incarnation()) : before.load();
    long now = MonotonicClock.millis();
    if (extendsColdPeriod(target)) {
      recordedColdEnds.put(target.incarnation(), coldEnd(target, now));
    }
    if (isColdLonger(target, load, now)) {
      onCold(target, load, wasInUse(target, now), now);
    }
    // The load holds the end of the cold period; the remaining time is true only for an instant.
    ListedTarget announced =
        new ListedTarget(
            target.withColdRemainingMillis(0),
            load,
            Long.MAX_VALUE,
            isNewIncarnation || before.firstPosition().epoch() < position.epoch()
                ? position
                : before.firstPosition(),
            position);
    boolean changesIndexes =
        before == null || !before.target().equals(announced.target()) || isAddressShared(target);
    Indexes changed = changesIndexes ? indexesWith(announced) : indexes;
    if (isNewIncarnation) {
      predecessors(announced).map(each -> each.target().incarnation()).forEach(onIncarnationEnded);
    }
    known.put(target.id(), announced);
    indexes = changed;
    if (isNewIncarnation || before.target().leaving() != target.leaving()) {
      logger.atInfo().log(
          "%s",
          LogEvent.of("target.announced")
              .with("target", target.id())
              .with("service", target.service())
              .with("address", NetUtil.toSocketAddressString(target.address()))
              .with("leaving", target.leaving())
              .with("started_ms", target.startedAtMillis()));
    }
  }

  /**
   * Whether other records of configured services name the address of a target, too. Each renewal of
   * theirs may then change which of them are listed, so it is news for the other entries.
   */
  public synchronized boolean isAddressShared(Target target) {
    return known.values().stream()
        .filter(this::isOfNamedService)
        .filter(each -> !each.target().id().equals(target.id()))
        .anyMatch(each -> each.address().equals(target.address()));
  }

  /** Takes in how much longer a target is cold, milliseconds, as it said in a response. */
  public synchronized void onColdResponse(ListedTarget cold, long remainingMillis) {
    long now = MonotonicClock.millis();
    Target stated = cold.target().withColdRemainingMillis(remainingMillis);
    if (isColdLonger(stated, cold.load(), now)) {
      onCold(stated, cold.load(), wasInUse(stated, now), now);
    }
  }

  private void onCold(Target target, TargetLoad load, boolean wasInUse, long now) {
    long until = coldEnd(target, now);
    load.onColdLimit(() -> coldListener.hasLimit(target.service()));
    load.onCold(until);
    coldListener.onCold(target, wasInUse, until, now);
  }

  /**
   * Whether other entries may still send the usual requests to a target that turned cold: it, or
   * another incarnation at its address, was not cold until now or a short time ago.
   */
  private boolean wasInUse(Target target, long now) {
    InetSocketAddress address = target.address();
    boolean isKnownAsWarm =
        known.values().stream()
            .filter(
                each -> each.target().id().equals(target.id()) || each.address().equals(address))
            .anyMatch(each -> !each.load().isInColdPeriod(now));
    if (isKnownAsWarm) {
      usualRequestsUntil.put(address, now + SharedLimits.NEWS_MILLIS);
    }
    return now < usualRequestsUntil.getOrDefault(address, Long.MIN_VALUE);
  }

  private void endColdPeriod(String incarnation) {
    recordedColdEnds.remove(incarnation);
    coldListener.onEnded(incarnation);
  }

  private static long coldEnd(Target target, long now) {
    return now + target.coldRemainingMillis() + COLD_MARGIN_MILLIS;
  }

  /**
   * Whether a record extends the cold period of its target as far as records stated it, so that it
   * is news for the other entries even if it only renews an earlier record. Never true while the
   * service has no limit for cold targets.
   */
  public synchronized boolean extendsColdPeriod(Target target) {
    long end = MonotonicClock.millis() + target.coldRemainingMillis();
    return target.coldRemainingMillis() > 0
        && end >= recordedColdEnds.getOrDefault(target.incarnation(), Long.MIN_VALUE)
        && coldListener.hasLimit(target.service());
  }

  /**
   * Whether a record states that a target is warm again. It replaces the cold record that other
   * entries hold and pass on to entries that have just started. Never true while the service has no
   * limit for cold targets.
   */
  public boolean endsColdPeriod(Target earlier, Target later) {
    return earlier.coldRemainingMillis() > 0
        && later.coldRemainingMillis() == 0
        && coldListener.hasLimit(later.service());
  }

  private static boolean isColdLonger(Target target, TargetLoad load, long now) {
    return target.coldRemainingMillis() > 0
        && !load.isInColdPeriod(now + target.coldRemainingMillis());
  }

  private TargetLoad takeRetainedLoad(String incarnation) {
    RetainedLoad retained = retainedLoadsByIncarnation.remove(incarnation);
    return retained == null ? new TargetLoad() : retained.load();
  }

  /**
   * Returns the targets that a successor replaced without their having said that they were leaving.
   */
  private Stream<ListedTarget> predecessors(ListedTarget successor) {
    return known.values().stream()
        .filter(each -> each.address().equals(successor.address()))
        .filter(each -> each.target().service().equals(successor.target().service()))
        .filter(each -> !each.isLeaving())
        .filter(each -> ListedTarget.later(each, successor).equals(successor));
  }

  /** Takes in that a target said in a response that it is leaving, whatever its record says. */
  public synchronized void onLeavingResponse(ListedTarget leaving) {
    if (leaving.load().saysLeaving()) {
      return;
    }
    logger.atInfo().log(
        "%s", LogEvent.of("target.says_leaving").with("target", leaving.target().id()));
    leaving.load().onLeaving();
    updateIndexes();
  }

  /**
   * Takes in that a target's record is gone.
   *
   * @param id the target's id
   * @param outageMillis how long the store had not responded before, milliseconds
   * @param now the current time, milliseconds
   */
  public synchronized void onDropped(String id, long outageMillis, long now) {
    ListedTarget before = known.get(id);
    if (before == null) {
      return;
    }
    boolean hasExpired = outageMillis > OUTAGE_MILLIS && !before.isLeaving();
    logger.atInfo().log(
        "%s",
        LogEvent.of(hasExpired ? "target.lapsed" : "target.gone")
            .with("target", id)
            .with("outage_ms", outageMillis));
    if (hasExpired) {
      known.put(id, before.usedUntil(now + EXPIRED_GRACE_MILLIS));
      return;
    }
    drop(before, now);
    updateIndexes();
  }

  /** Drops targets whose grace period has ended, and loads that were retained long enough. */
  public synchronized void tick(long now) {
    List<String> ended =
        retainedLoadsByIncarnation.entrySet().stream()
            .filter(retained -> now - retained.getValue().at() > LOAD_RETENTION_MILLIS)
            .map(Map.Entry::getKey)
            .toList();
    ended.forEach(retainedLoadsByIncarnation::remove);
    ended.forEach(this::endColdPeriod);
    recordedColdEnds.values().removeIf(end -> end <= now);
    usualRequestsUntil.values().removeIf(until -> until <= now);
    List<ListedTarget> expired =
        known.values().stream().filter(each -> each.usedUntil() <= now).toList();
    if (!expired.isEmpty()) {
      expired.forEach(each -> drop(each, now));
      updateIndexes();
    }
  }

  private void drop(ListedTarget gone, long now) {
    known.remove(gone.target().id());
    if (!gone.load().isInColdPeriod(now)) {
      usualRequestsUntil.put(gone.address(), now + SharedLimits.NEWS_MILLIS);
    }
    retainedLoadsByIncarnation.put(gone.target().incarnation(), new RetainedLoad(gone.load(), now));
  }

  /**
   * Takes in which zones are out of service. Their targets take no new requests, but stay listed:
   * they may be ranks, which keep stepping with their group.
   */
  public synchronized void onEvacuated(EvacuatedZones zones) {
    evacuatedZones = zones;
    updateIndexes();
  }

  /** Takes in which services the configuration in force names. */
  public synchronized void onServices(Set<String> names) {
    services = Optional.of(Set.copyOf(names));
    updateIndexes();
  }

  /** Takes in that a response showed that another target has the address of this one. */
  public synchronized void onMisdirected(ListedTarget absent) {
    absent.load().onMisdirected();
    if (isAddressShared(absent.target())) {
      updateIndexes();
    }
  }

  /**
   * Whether a service has targets that would take requests, but all of them are in evacuated zones.
   */
  public boolean isEvacuated(String service) {
    return indexes.evacuatedServices().contains(service);
  }

  /** Whether a target takes no requests because its zone is evacuated. */
  public boolean isInEvacuatedZone(Target target) {
    return evacuatedZones.contains(target.zone());
  }

  /** Returns the number of known targets in a zone. */
  public synchronized int countIn(String zone) {
    return (int) known.values().stream().filter(each -> zone.equals(each.target().zone())).count();
  }

  /** Returns the targets of a service that take new requests; empty if there are none. */
  public List<ListedTarget> usable(String service) {
    return indexes.usableByService().getOrDefault(service, List.of());
  }

  /** Chooses one of the usable targets of a service, as {@link TargetChoice} decides. */
  static Optional<ListedTarget> choose(
      TargetChoice choice, List<ListedTarget> usable, Set<String> tried, String ownZone, long now) {
    List<ListedTarget> shuffled = new ArrayList<>(usable);
    Collections.shuffle(shuffled, ThreadLocalRandom.current());
    List<TargetChoice.Candidate> candidates =
        shuffled.stream()
            .map(
                each ->
                    new TargetChoice.Candidate(
                        each.target().id(), each.target().zone().equals(ownZone), each.load()))
            .toList();
    return choice
        .choose(candidates, tried, now)
        .flatMap(
            candidate ->
                usable.stream()
                    .filter(each -> each.target().id().equals(candidate.id()))
                    .findFirst());
  }

  /** Returns all targets, also those that are leaving, sorted by id. */
  public synchronized List<ListedTarget> all() {
    return known.values().stream()
        .sorted(Comparator.comparing(each -> each.target().id()))
        .toList();
  }

  /** Takes in a load report from an IP address, which applies to the targets there. */
  public void onReport(String host, TargetReport report) {
    Optional<GroupOpenness> group =
        report
            .group()
            .map(
                reportedGroup ->
                    groups.computeIfAbsent(reportedGroup.name(), key -> new GroupOpenness()));
    group.ifPresent(
        openness ->
            openness.onReport(
                report.group().orElseThrow().epoch(), report.isOpen(), report.measuredAt()));
    atHost(host)
        .forEach(
            known -> {
              group.ifPresent(known.load()::onGroup);
              known.load().onReport(report);
            });
  }

  /** Returns the targets at an IP address; empty if there are none. */
  public List<ListedTarget> atHost(String host) {
    return indexes.byHost().getOrDefault(host, List.of());
  }

  private void updateIndexes() {
    indexes = indexesOf(known.values());
  }

  private Indexes indexesWith(ListedTarget announced) {
    Map<String, ListedTarget> changed = new HashMap<>(known);
    changed.put(announced.target().id(), announced);
    return indexesOf(changed.values());
  }

  private Indexes indexesOf(Collection<ListedTarget> all) {
    List<ListedTarget> named = all.stream().filter(this::isOfNamedService).toList();
    List<ListedTarget> current =
        named.stream().collect(Collectors.groupingBy(ListedTarget::address)).values().stream()
            .flatMap(TargetDirectory::withoutPredecessors)
            .toList();
    // A request that was routed by an earlier configuration may still go to a service of it.
    Stream<ListedTarget> unnamed = all.stream().filter(each -> !isOfNamedService(each));
    Map<Boolean, Map<String, List<ListedTarget>>> byEvacuation =
        Stream.concat(current.stream(), unnamed)
            .filter(each -> !each.isLeaving())
            .collect(
                Collectors.partitioningBy(
                    each -> evacuatedZones.contains(each.target().zone()),
                    Collectors.groupingBy(
                        each -> each.target().service(), Collectors.toUnmodifiableList())));
    Map<String, List<ListedTarget>> usable = byEvacuation.get(false);
    Map<String, List<ListedTarget>> evacuated = byEvacuation.get(true);
    usable.forEach(
        (service, targets) -> linkLoads(targets, evacuated.getOrDefault(service, List.of())));
    return new Indexes(
        Map.copyOf(usable),
        evacuated.keySet().stream()
            .filter(service -> !usable.containsKey(service))
            .collect(Collectors.toUnmodifiableSet()),
        current.stream().collect(Collectors.groupingBy(each -> each.target().host())));
  }

  private boolean isOfNamedService(ListedTarget listed) {
    return services.map(names -> names.contains(listed.target().service())).orElse(true);
  }

  /** Returns the targets at one address but those that another one there has replaced. */
  private static Stream<ListedTarget> withoutPredecessors(List<ListedTarget> sameAddress) {
    ListedTarget latest =
        sameAddress.stream()
            .filter(each -> !each.load().isMisdirected())
            .reduce(ListedTarget::later)
            .or(() -> sameAddress.stream().reduce(ListedTarget::later))
            .orElseThrow();
    return sameAddress.stream().filter(each -> each.equals(latest) || each.hasRenewedSince(latest));
  }

  /** Tells the usable targets of a service which others only step with them. */
  private static void linkLoads(List<ListedTarget> usable, List<ListedTarget> evacuated) {
    List<TargetLoad> loads = evacuated.stream().map(ListedTarget::load).toList();
    usable.forEach(each -> each.load().onComputingOnly(loads));
  }
}
