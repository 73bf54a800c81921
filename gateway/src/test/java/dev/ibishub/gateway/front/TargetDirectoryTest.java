package dev.ibishub.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dev.ibishub.core.entries.LogPosition;
import dev.ibishub.core.serving.ColdLimit;
import dev.ibishub.core.serving.EvacuatedZones;
import dev.ibishub.core.serving.LimitDivision;
import dev.ibishub.core.serving.SharedLimits;
import dev.ibishub.core.serving.TargetChoice;
import dev.ibishub.core.serving.TargetLoad;
import dev.ibishub.core.serving.TargetReport;
import dev.ibishub.gateway.model.Target;
import dev.ibishub.runtime.MonotonicClock;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

final class TargetDirectoryTest {
  private final TargetDirectory directory = new TargetDirectory("zone-a");

  private static Target target(boolean leaving, long startedAt) {
    return new Target("t1", "pages", "10.0.0.1", 80, "zone-a", 6, leaving, startedAt);
  }

  @Test
  void leavingTargetIsNotUsable() {
    directory.onAnnounced(target(false, 1), new LogPosition(1, 1));
    directory.onAnnounced(target(true, 1), new LogPosition(1, 2));

    assertThat(directory.usable("pages")).isEmpty();
  }

  // Guards against requests to a target that has announced that it is leaving: the store came back
  // from an older copy, in which it is still ready.
  @Test
  void targetKeepsLeavingThoughOlderRecordComesBack() {
    directory.onAnnounced(target(false, 1), new LogPosition(1, 7));
    directory.onAnnounced(target(true, 1), new LogPosition(1, 8));
    directory.onAnnounced(target(false, 1), new LogPosition(2, 7));
    assertThat(directory.usable("pages")).isEmpty();

    directory.onAnnounced(target(false, 2), new LogPosition(2, 9));
    assertThat(directory.usable("pages")).hasSize(1);
  }

  // Guards against requests to a target that says only in its responses that it is leaving.
  @Test
  void targetIsNotUsableInTheLifeInWhichItsResponseSaidLeaving() {
    directory.onAnnounced(target(false, 1), new LogPosition(1, 1));
    directory.onLeavingResponse(directory.usable("pages").get(0));
    assertThat(directory.usable("pages")).isEmpty();

    directory.onAnnounced(target(false, 1), new LogPosition(1, 2));
    assertThat(directory.usable("pages")).isEmpty();
    directory.onAnnounced(target(false, 2), new LogPosition(1, 3));
    assertThat(directory.usable("pages")).hasSize(1);
  }

  // Guards against a target's back-off or leaving state that is lost with its record although the
  // target lives on.
  @Test
  void targetAnnouncedAgainInTheSameLifeKeepsBackOffAndLeavingState() {
    directory.onAnnounced(target(false, 1), new LogPosition(1, 1));
    TargetDirectory.ListedTarget first = directory.usable("pages").get(0);
    first.load().onBackOffRequested(5_000);
    directory.onDropped("t1", 0, 1_000);
    directory.onAnnounced(target(false, 1), new LogPosition(1, 2));
    assertThat(directory.usable("pages").get(0).load().isBackingOff(2_000)).isTrue();

    directory.onLeavingResponse(first);
    directory.onDropped("t1", 0, 1_000);
    directory.onAnnounced(target(false, 1), new LogPosition(1, 3));
    assertThat(directory.usable("pages")).isEmpty();
  }

  @Test
  void droppedTargetIsNotUsableWhileTheStoreResponds() {
    directory.onAnnounced(target(false, 1), new LogPosition(1, 3));
    directory.onDropped("t1", 500, 1_000);

    assertThat(directory.usable("pages")).isEmpty();
  }

  // Guards against refusing all requests for seconds although every target is healthy. During an
  // outage of the store, targets can't renew their records, so these expire, and their end is the
  // first thing that is read once the store is back.
  @Test
  void targetWhoseRecordExpiredInAnOutageIsUsableForAGracePeriod() {
    directory.onAnnounced(target(false, 1), new LogPosition(1, 4));
    directory.onDropped("t1", 6_000, 10_000);
    directory.tick(12_000);
    assertThat(directory.usable("pages")).hasSize(1);

    directory.tick(10_000 + TargetDirectory.EXPIRED_GRACE_MILLIS);
    assertThat(directory.usable("pages")).isEmpty();
  }

  @Test
  void targetWithRenewedRecordIsUsableAfterTheGracePeriod() {
    directory.onAnnounced(target(false, 1), new LogPosition(1, 5));
    directory.onDropped("t1", 6_000, 10_000);
    directory.onAnnounced(target(false, 1), new LogPosition(1, 6));
    directory.tick(20_000);

    assertThat(directory.usable("pages")).hasSize(1);
  }

  // Guards against a restarted target that receives no requests: under its old id it would be
  // judged by the failures of its earlier incarnation.
  @Test
  void restartUnderTheSameIdClearsSuspension() {
    directory.onAnnounced(target(false, 1), new LogPosition(1, 7));
    directory.usable("pages").get(0).load().onUnreachable(0);
    directory.onAnnounced(target(false, 2), new LogPosition(1, 8));

    assertThat(directory.usable("pages").get(0).load().isSuspended(1)).isFalse();
  }

  // Guards against a target without a usable address that is listed, and makes the records of all
  // others fail.
  @Test
  void targetWithoutUsableAddressIsNotListed() {
    assertThatThrownBy(() -> directory.onAnnounced(at("odd", 70_000, 0), new LogPosition(1, 1)))
        .isInstanceOf(IllegalArgumentException.class);
    assertThatThrownBy(
            () ->
                directory.onAnnounced(
                    new Target("odd", "pages", "not-an-address", 80, "zone-a", 6, false, 1),
                    new LogPosition(1, 2)))
        .isInstanceOf(IllegalArgumentException.class);
    directory.onAnnounced(at("sound", 80, 0), new LogPosition(1, 3));

    assertThat(directory.usable("pages")).hasSize(1);
  }

  private static Target at(String id, int port, long startedAt) {
    return new Target(id, "pages", "10.0.0.1", port, "zone-a", 6, false, startedAt);
  }

  // Guards against refused requests after a loss of power, half of them in the first seconds.
  // Targets had restarted under new ids while the records of their earlier incarnations had not
  // expired,
  // and an entry that read both sent requests to both.
  @Test
  void targetWhoseAddressHasANewerRecordIsNotUsable() {
    directory.onAnnounced(at("new", 80, 0), new LogPosition(1, 8));
    directory.onAnnounced(at("old", 80, 0), new LogPosition(1, 3));
    directory.onAnnounced(at("beside", 81, 0), new LogPosition(1, 4));

    assertThat(directory.usable("pages"))
        .extracting(known -> known.target().id())
        .containsExactlyInAnyOrder("new", "beside");
    assertThat(directory.atHost("10.0.0.1")).hasSize(2);
  }

  @Test
  void laterStartTakesPrecedenceOverLaterRecord() {
    directory.onAnnounced(at("new", 80, 2_000), new LogPosition(1, 3));
    directory.onAnnounced(at("old", 80, 1_000), new LogPosition(1, 8));

    assertThat(directory.usable("pages"))
        .extracting(known -> known.target().id())
        .containsExactly("new");
  }

  @Test
  void targetWithRenewedRecordTakesItsAddressBack() {
    directory.onAnnounced(at("a", 80, 0), new LogPosition(1, 3));
    directory.onAnnounced(at("b", 80, 0), new LogPosition(1, 4));
    directory.onAnnounced(at("a", 80, 0), new LogPosition(1, 5));

    assertThat(directory.usable("pages"))
        .extracting(known -> known.target().id())
        .containsExactly("a");
  }

  private List<String> usableIds() {
    return directory.usable("pages").stream().map(known -> known.target().id()).toList();
  }

  private static Target of(String service, String id, long startedAt) {
    return new Target(id, service, "10.0.0.1", 80, "zone-a", 6, false, startedAt);
  }

  // Guards against targets that are displaced by another writer's record, which bears the address
  // of a target and a service that the configuration doesn't name.
  @ParameterizedTest
  @ValueSource(longs = {0, 1_000, 3_000, Long.MAX_VALUE})
  void recordOfUnnamedServiceDisplacesNoTarget(long startedAt) {
    directory.onServices(Set.of("pages"));
    directory.onAnnounced(of("pages", "sound", 2_000), new LogPosition(1, 3));
    directory.onAnnounced(of("metrics", "odd", startedAt), new LogPosition(1, 8));
    assertThat(usableIds()).containsExactly("sound");
    assertThat(directory.atHost("10.0.0.1")).hasSize(1);

    directory.onServices(Set.of("pages", "metrics"));
    directory.onServices(Set.of("pages"));
    assertThat(usableIds()).containsExactly("sound");
  }

  // Guards against targets that are displaced by another writer's record, which claims a later
  // start at their address, while they renew their own records.
  @ParameterizedTest
  @CsvSource({"pages, 0", "pages, 3000", "other, 0", "other, 3000", "other, 9223372036854775807"})
  void targetThatRenewsItsRecordIsNotDisplaced(String service, long startedAt) {
    directory.onServices(Set.of("pages", "other"));
    directory.onAnnounced(of("pages", "sound", 2_000), new LogPosition(1, 1));
    directory.onAnnounced(of(service, "odd", startedAt), new LogPosition(1, 2));
    directory.onAnnounced(of("pages", "sound", 2_000), new LogPosition(1, 3));
    assertThat(usableIds()).contains("sound");

    directory.onAnnounced(of(service, "odd", startedAt), new LogPosition(1, 4));
    assertThat(usableIds()).contains("sound");
  }

  // Guards against requests to a target that ended: another service's target has its address.
  @Test
  void reusedAddressGoesToTheLaterTargetOfAnotherService() {
    directory.onServices(Set.of("pages", "other"));
    directory.onAnnounced(of("pages", "ended", 0), new LogPosition(1, 1));
    directory.onAnnounced(of("pages", "ended", 0), new LogPosition(1, 2));
    directory.onAnnounced(of("other", "later", 0), new LogPosition(1, 3));
    directory.onAnnounced(of("other", "later", 0), new LogPosition(1, 4));

    assertThat(usableIds()).isEmpty();
    assertThat(directory.usable("other")).hasSize(1);
  }

  // Guards against a target that stays displaced by a record whose target isn't there, as a
  // response has shown.
  @Test
  void targetThatIsNotAtItsAddressDisplacesNone() {
    directory.onAnnounced(of("pages", "sound", 0), new LogPosition(1, 1));
    directory.onAnnounced(of("pages", "odd", 0), new LogPosition(1, 2));
    assertThat(usableIds()).containsExactly("odd");

    directory.onMisdirected(directory.usable("pages").get(0));
    assertThat(usableIds()).containsExactly("sound");
  }

  @Test
  void recordOfAnEarlierLifeIsIgnored() {
    directory.onAnnounced(target(false, 2), new LogPosition(1, 9));
    directory.onAnnounced(target(true, 1), new LogPosition(1, 10));

    assertThat(directory.usable("pages")).hasSize(1);
  }

  @Test
  void reportsLifeThatEndedWithoutNoticeWhenItsSuccessorIsAnnounced() {
    List<String> ended = new ArrayList<>();
    TargetDirectory watched = new TargetDirectory("zone-a", ended::add);
    watched.onAnnounced(at("t1", 80, 1), new LogPosition(1, 1));
    watched.onAnnounced(at("t1", 80, 1), new LogPosition(1, 2));
    watched.onAnnounced(at("t2", 81, 1), new LogPosition(1, 3));
    assertThat(ended).isEmpty();

    watched.onAnnounced(at("t1", 80, 2), new LogPosition(1, 4));
    watched.onAnnounced(at("t3", 81, 5), new LogPosition(1, 5));
    assertThat(ended).containsExactly("t1@1", "t2@1");
  }

  @Test
  void doesNotReportEndOfLeavingIncarnation() {
    List<String> ended = new ArrayList<>();
    TargetDirectory watched = new TargetDirectory("zone-a", ended::add);
    watched.onAnnounced(target(true, 1), new LogPosition(1, 1));
    watched.onAnnounced(target(false, 2), new LogPosition(1, 2));

    assertThat(ended).isEmpty();
  }

  private static Target inZone(String id, String zone) {
    return new Target(id, "pages", "10.0.1." + id, 80, zone, 6, false, 1);
  }

  // Guards against requests to targets that announce themselves after their zone was evacuated, and
  // against targets that are forgotten because their zone was.
  @Test
  void targetsOfEvacuatedZonesStayListedButAreNotUsable() {
    EvacuatedZones both =
        EvacuatedZones.NONE
            .withEvacuated("zone-b", new LogPosition(1, 1))
            .withEvacuated("zone-c", new LogPosition(1, 2));
    directory.onEvacuated(both);
    directory.onAnnounced(inZone("1", "zone-a"), new LogPosition(1, 3));
    directory.onAnnounced(inZone("2", "zone-b"), new LogPosition(1, 4));
    directory.onAnnounced(inZone("3", "zone-c"), new LogPosition(1, 5));

    assertThat(directory.usable("pages"))
        .extracting(known -> known.target().id())
        .containsExactly("1");
    assertThat(directory.all()).hasSize(3);
    assertThat(directory.atHost("10.0.1.2")).hasSize(1);
    assertThat(directory.countIn("zone-b")).isEqualTo(1);

    directory.onEvacuated(both.withRestored("zone-b", new LogPosition(1, 6)));
    assertThat(directory.usable("pages"))
        .extracting(known -> known.target().id())
        .containsExactlyInAnyOrder("1", "2");
  }

  @Test
  void serviceIsEvacuatedIfItHasTargetsButOnlyInEvacuatedZones() {
    EvacuatedZones zones = EvacuatedZones.NONE.withEvacuated("zone-a", new LogPosition(1, 1));
    directory.onEvacuated(zones);
    assertThat(directory.isEvacuated("pages")).isFalse();

    directory.onAnnounced(inZone("1", "zone-a"), new LogPosition(1, 2));
    assertThat(directory.isEvacuated("pages")).isTrue();
    directory.onAnnounced(inZone("2", "zone-b"), new LogPosition(1, 3));
    assertThat(directory.isEvacuated("pages")).isFalse();
    directory.onDropped("2", 0, 1_000);
    assertThat(directory.isEvacuated("pages")).isTrue();

    directory.onEvacuated(zones.withRestored("zone-a", new LogPosition(1, 4)));
    assertThat(directory.isEvacuated("pages")).isFalse();
  }

  private void reportRank(String id, boolean isOpen, long at) {
    directory.onReport(
        "10.0.1." + id,
        new TargetReport(
            0,
            1,
            isOpen,
            at,
            Optional.of(new TargetReport.GroupMembership("g", 1)),
            OptionalLong.empty()));
  }

  private List<TargetLoad> usableLoads() {
    return directory.usable("pages").stream().map(TargetDirectory.ListedTarget::load).toList();
  }

  // Guards against requests that wait for a group to open although it lacks a rank. That rank was
  // in an evacuated zone, so it took no requests, but the group does not open without it.
  @Test
  void ranksOfEvacuatedZoneCountForTheStateOfTheirGroup() {
    directory.onEvacuated(EvacuatedZones.NONE.withEvacuated("zone-b", new LogPosition(1, 1)));
    directory.onAnnounced(inZone("1", "zone-a"), new LogPosition(1, 2));
    directory.onAnnounced(inZone("2", "zone-b"), new LogPosition(1, 3));
    reportRank("1", false, 100);
    assertThat(TargetChoice.areForming(usableLoads(), 150)).isFalse();

    reportRank("2", false, 110);
    assertThat(TargetChoice.areForming(usableLoads(), 150)).isTrue();
    assertThat(TargetChoice.areClosed(usableLoads(), 150)).isTrue();

    reportRank("2", true, 120);
    assertThat(TargetChoice.areClosed(usableLoads(), 150)).isFalse();
    assertThat(TargetChoice.areForming(usableLoads(), 150)).isFalse();
  }

  private final List<String> coldStatements = new ArrayList<>();

  private TargetDirectory directoryOfColdTargets() {
    return new TargetDirectory(
        "zone-a",
        incarnation -> {},
        (target, wasInUse, until, now) ->
            coldStatements.add(target.incarnation() + (wasInUse ? " was in use" : "")));
  }

  // Guards against a target that counts as warm while its records still say that it is cold, and
  // against records forwarded to all entries only because the remaining time declines.
  @Test
  void onlyRecordsThatExtendColdPeriodChangeItsEnd() {
    TargetDirectory watched = directoryOfColdTargets();
    Target announced = target(false, 1);
    watched.onAnnounced(announced.withColdRemainingMillis(60_000), new LogPosition(1, 1));
    assertThat(watched.extendsColdPeriod(announced.withColdRemainingMillis(59_000))).isFalse();
    watched.onAnnounced(announced.withColdRemainingMillis(59_000), new LogPosition(1, 2));
    watched.onAnnounced(announced, new LogPosition(1, 3));
    assertThat(coldStatements).containsExactly("t1@1");
    assertThat(watched.extendsColdPeriod(announced.withColdRemainingMillis(120_000))).isTrue();
    watched.onAnnounced(announced.withColdRemainingMillis(120_000), new LogPosition(1, 4));
    assertThat(coldStatements).hasSize(2);

    TargetLoad load = watched.usable("pages").get(0).load();
    assertThat(load.isCold(MonotonicClock.millis() + 110_000)).isTrue();
    assertThat(load.isCold(MonotonicClock.millis() + 121_000)).isFalse();
  }

  // Guards against a limit of a cold target that continues in its next incarnation, and against
  // requests to a target in use that turns cold before all entries have learned of it.
  @Test
  void newIncarnationHasItsOwnColdPeriod() {
    TargetDirectory watched = directoryOfColdTargets();
    watched.onAnnounced(target(false, 1).withColdRemainingMillis(60_000), new LogPosition(1, 1));
    watched.onAnnounced(target(false, 2), new LogPosition(1, 2));
    assertThat(watched.usable("pages").get(0).load().isCold(MonotonicClock.millis())).isFalse();
    watched.onAnnounced(target(false, 3).withColdRemainingMillis(60_000), new LogPosition(1, 3));
    assertThat(coldStatements).containsExactly("t1@1", "t1@3 was in use");
  }

  // Guards against a target that turned cold and says so in its responses before its record does.
  @Test
  void responseStatesColdPeriodAsRecordDoes() {
    TargetDirectory watched = directoryOfColdTargets();
    watched.onAnnounced(target(false, 1), new LogPosition(1, 1));
    watched.onColdResponse(watched.usable("pages").get(0), 60_000);
    watched.onColdResponse(watched.usable("pages").get(0), 59_000);
    assertThat(coldStatements).containsExactly("t1@1 was in use");
  }

  // Guards against a record that the reader withholds from all other entries because a response,
  // which only the reader got, said the same before.
  @Test
  void recordIsNewsAlthoughResponseStatedTheColdPeriod() {
    TargetDirectory watched = directoryOfColdTargets();
    Target announced = target(false, 1);
    watched.onAnnounced(announced, new LogPosition(1, 1));
    watched.onColdResponse(watched.usable("pages").get(0), 60_000);
    assertThat(watched.extendsColdPeriod(announced.withColdRemainingMillis(59_000))).isTrue();

    watched.onAnnounced(announced.withColdRemainingMillis(59_000), new LogPosition(1, 2));
    assertThat(watched.extendsColdPeriod(announced.withColdRemainingMillis(58_000))).isFalse();
    assertThat(coldStatements).containsExactly("t1@1 was in use");
  }

  // Guards against requests to a cold target from entries that still know its predecessor at the
  // address as warm, because the record of the predecessor was dropped in between.
  @Test
  void coldSuccessorOfDroppedTargetWasInUse() {
    TargetDirectory watched = directoryOfColdTargets();
    watched.onAnnounced(at("t1", 80, 1), new LogPosition(1, 1));
    watched.onAnnounced(at("t2", 81, 1), new LogPosition(1, 2));
    watched.onDropped("t1", 0, MonotonicClock.millis());
    watched.onAnnounced(at("t1", 80, 2).withColdRemainingMillis(60_000), new LogPosition(1, 4));
    watched.onAnnounced(at("t3", 81, 2).withColdRemainingMillis(60_000), new LogPosition(1, 5));
    watched.onAnnounced(at("t4", 82, 2).withColdRemainingMillis(60_000), new LogPosition(1, 6));
    assertThat(coldStatements).containsExactly("t1@2 was in use", "t3@2 was in use", "t4@2");
  }

  // Guards against requests to a cold target that restarted soon after it turned cold in use. Other
  // entries may not even have learned of the first cold period.
  @Test
  void coldSuccessorTakesOverThatItsPredecessorWasInUse() {
    TargetDirectory watched = directoryOfColdTargets();
    watched.onAnnounced(at("t1", 80, 1), new LogPosition(1, 1));
    watched.onAnnounced(at("t1", 80, 1).withColdRemainingMillis(60_000), new LogPosition(1, 2));
    watched.onAnnounced(at("t1", 80, 2).withColdRemainingMillis(60_000), new LogPosition(1, 3));
    watched.tick(MonotonicClock.millis() + SharedLimits.NEWS_MILLIS);
    watched.onAnnounced(at("t1", 80, 3).withColdRemainingMillis(60_000), new LogPosition(1, 4));
    assertThat(coldStatements).containsExactly("t1@1 was in use", "t1@2 was in use", "t1@3");
  }

  // Guards against state that is kept for each restart of a target, for as long as its earlier
  // incarnation said that it would be cold, and against a limit that is lost with a record although
  // the target lives on.
  @Test
  void coldStateEndsWithItsIncarnation() {
    List<String> ended = new ArrayList<>();
    TargetDirectory watched =
        new TargetDirectory(
            "zone-a",
            incarnation -> {},
            new ColdListener() {
              @Override
              public void onCold(Target target, boolean wasInUse, long until, long now) {}

              @Override
              public void onEnded(String incarnation) {
                ended.add(incarnation);
              }
            });
    watched.onAnnounced(target(false, 1).withColdRemainingMillis(60_000), new LogPosition(1, 1));
    watched.onAnnounced(target(false, 1).withColdRemainingMillis(59_000), new LogPosition(1, 2));
    assertThat(ended).isEmpty();
    watched.onAnnounced(target(false, 2).withColdRemainingMillis(60_000), new LogPosition(1, 3));
    assertThat(ended).containsExactly("t1@1");

    watched.onDropped("t1", 0, 1_000);
    watched.tick(1_000 + TargetDirectory.LOAD_RETENTION_MILLIS);
    assertThat(ended).hasSize(1);
    watched.tick(1_001 + TargetDirectory.LOAD_RETENTION_MILLIS);
    assertThat(ended).containsExactly("t1@1", "t1@2");
  }

  // Guards against a service without a limit for cold targets whose requests all go to the warm
  // ones, and against a limit that comes into force while a target is cold and misses it.
  @Test
  void coldPeriodMattersOnlyWhileServiceHasALimit() {
    PrometheusRegistry registry = new PrometheusRegistry();
    AtomicReference<Optional<ColdLimit>> limit = new AtomicReference<>(Optional.empty());
    TargetDirectory limited =
        new TargetDirectory(
            "zone-a",
            incarnation -> {},
            new TargetLimits(
                new SharedLimits("own", LimitDivision.amongFewHolders()),
                frame -> {},
                service -> limit.get(),
                registry));
    Target cold = target(false, 1).withColdRemainingMillis(60_000);
    limited.onAnnounced(cold, new LogPosition(1, 1));
    TargetLoad load = limited.usable("pages").get(0).load();
    assertThat(load.isCold(MonotonicClock.millis())).isFalse();
    assertThat(limited.extendsColdPeriod(cold)).isFalse();
    assertThat(limited.endsColdPeriod(cold, target(false, 1))).isFalse();

    limit.set(Optional.of(new ColdLimit(14, 1.5, 5)));
    assertThat(load.isCold(MonotonicClock.millis())).isTrue();
    assertThat(limited.extendsColdPeriod(cold)).isTrue();
    assertThat(limited.endsColdPeriod(cold, target(false, 1))).isTrue();
  }
}
