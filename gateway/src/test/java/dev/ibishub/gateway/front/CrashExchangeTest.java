package dev.ibishub.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.core.entries.EntryRoster;
import dev.ibishub.core.serving.crashes.CrashFindings;
import dev.ibishub.core.serving.crashes.CrashedRun;
import dev.ibishub.core.serving.crashes.RequestIdentity;
import dev.ibishub.core.serving.crashes.RequestTrait;
import dev.ibishub.core.serving.crashes.RequestTraits;
import dev.ibishub.gateway.membership.PeerMesh;
import dev.ibishub.runtime.MonotonicClock;
import dev.ibishub.runtime.TaskQueue;
import dev.ibishub.wire.generated.Frame;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Evidence on crashes between entries: who learns what, and how many messages that takes. */
final class CrashExchangeTest {
  private static final int REPORTS = 10;

  /** Over each of the 25 links both ways, and as often again. */
  private static final int MOST_LIMITS = 100;

  private static final int MANY_RUNS = 300;
  private static final int MOST = 50_000;
  private static final List<String> PARTS = List.of("p1", "p2", "p3");

  /** Messages over one link that a report may take: to it, on from it, and what contradicts. */
  private static final int MESSAGES_PER_LINK = 4;

  private static final PeerMesh.Sender NOBODY = new PeerMesh.Sender(reply -> {}, forwarded -> {});

  private static List<Integer> numbers(int from, int until) {
    return IntStream.range(from, until).boxed().toList();
  }

  // Guards against evidence that goes round for ever among entries that are no relays of each other
  // and each contradict it.
  @Test
  void contradictedReportDoesNotGoRound() {
    List<List<Integer>> furtherLinks = List.of(List.of(5, 6), List.of(6, 7), List.of(7, 5));
    try (CrashExchangeModel model = new CrashExchangeModel(8, furtherLinks)) {
      long now = MonotonicClock.millis();
      model.answer(List.of(0, 1, 2, 3, 4, 6, 7), Set.copyOf(PARTS), now);
      model.crash(5, "t", 1, PARTS, now - 1);

      assertThat(model.deliverAll(MOST)).as("%d messages", model.messages()).isTrue();
      assertThat(model.suspecting("p1")).isEmpty();
    }
  }

  // Guards against traffic that grows with the square of the entries, as each contradicts to all.
  @ParameterizedTest
  @ValueSource(ints = {8, 41, 370})
  void messagesOfReportGrowWithEntries(int count) {
    try (CrashExchangeModel model = new CrashExchangeModel(count, List.of())) {
      long now = MonotonicClock.millis();
      model.answer(numbers(0, count - 1), Set.copyOf(PARTS), now);
      IntStream.range(0, REPORTS)
          .forEach(report -> model.crash(count - 1, "t" + report, 1, PARTS, now - 1));

      assertThat(model.deliverAll(Integer.MAX_VALUE)).isTrue();
      long links = (long) count * EntryRoster.RELAY_COUNT;
      System.out.printf(
          "%d entries: %.1f messages and %d bytes a report%n",
          count, model.messages() / (double) REPORTS, model.bytes() / REPORTS);
      assertThat(model.messages()).isLessThanOrEqualTo(REPORTS * MESSAGES_PER_LINK * links);
      assertThat(model.suspecting("p1")).isEmpty();
    }
  }

  // Guards against a part that some entries go on suspecting, as only one that is no relay knows of
  // its answer.
  @ParameterizedTest
  @ValueSource(ints = {0, 3, 4, 5, 11})
  void answerKnownToOneEntryClearsPartEverywhere(int answering) {
    try (CrashExchangeModel model = new CrashExchangeModel(12, List.of())) {
      long now = MonotonicClock.millis();
      model.answer(List.of(answering), Set.of("p1"), now);
      model.crash(10, "t", 1, PARTS, now - 1);
      model.deliverAll(MOST);

      assertThat(model.suspecting("p1")).isEmpty();
      assertThat(model.suspecting("p2")).isEqualTo(numbers(0, 12));
    }
  }

  // Guards against a report that is told on for ever, as each entry dates it anew.
  @Test
  void reportIsToldOnThreeTimesAtMost() {
    CrashDetector crashes = new CrashDetector(any -> {});
    List<Frame> forwarded = new ArrayList<>();
    for (int hops = 0; hops <= 4; hops++) {
      CrashFindings probe =
          new CrashFindings(
              List.of(),
              List.of(),
              List.of(new CrashFindings.Probe(RequestTrait.ofPart("s", "p" + hops), 2_000 + hops)),
              List.of());
      crashes.onReport(
          CrashMessages.broadcastFrame(probe, 1 + hops, hops, 0).getCrashReport(),
          new PeerMesh.Sender(reply -> {}, forwarded::add));
    }

    assertThat(forwarded)
        .extracting(frame -> frame.getCrashReport().getHops())
        .containsExactly(1, 2, 3);
  }

  // Guards against links that bring all evidence each time that they are opened, which holds the
  // event loops of both entries so long that they lose their links again.
  @Test
  void linkThatIsOpenedAgainBringsNothingThatIsKnown() {
    try (CrashExchangeModel model = new CrashExchangeModel(8, List.of())) {
      model.crash(5, "t", MANY_RUNS, PARTS, MonotonicClock.millis());
      model.deliverAll(MOST);
      model.resetCounts();
      numbers(1, 8).forEach(number -> model.relink(number, 0));
      model.deliverAll(MOST);

      assertThat(model.messages()).isZero();
    }
  }

  // Guards against entries that start and don't learn everything, or by messages that hold their
  // event loops.
  @Test
  void startedEntryLearnsAllInSmallMessages() {
    try (CrashExchangeModel model = new CrashExchangeModel(8, List.of())) {
      long now = MonotonicClock.millis();
      model.crash(5, "t", MANY_RUNS, PARTS, now);
      model.crash(6, "u", 1, List.of("p4"), now);
      model.deliverAll(MOST);
      model.resetCounts();
      model.addEntry();
      model.deliverAll(MOST);

      assertThat(model.suspecting("p1")).isEqualTo(numbers(0, 9));
      assertThat(model.suspecting("p4")).isEqualTo(numbers(0, 9));
      assertThat(model.mostRuns()).isBetween(1, MANY_RUNS / 4);
    }
  }

  // Guards against two parts of a fleet that each keep to themselves what they found while they
  // were cut from each other.
  @Test
  void linkBetweenPartsOfFleetBringsWhatEachLacks() {
    try (CrashExchangeModel model = new CrashExchangeModel(8, List.of())) {
      long now = MonotonicClock.millis();
      model.crash(5, "t", MANY_RUNS, PARTS, now);
      model.deliverAll(MOST);
      model.loseMessages(() -> model.crash(6, "u", 1, List.of("p4"), now));
      assertThat(model.suspecting("p4")).containsExactly(6);
      model.resetCounts();
      model.relink(6, 0);
      model.deliverAll(MOST);

      assertThat(model.suspecting("p4")).isEqualTo(numbers(0, 8));
      assertThat(model.mostRuns()).isLessThanOrEqualTo(MANY_RUNS / 4);
    }
  }

  // Guards against work for each copy of a report, of which each relay brings one.
  @Test
  void copiesOfReportAreMergedOnce() {
    PrometheusRegistry registry = new PrometheusRegistry();
    CrashDetector crashes = new CrashDetector(any -> {}, () -> true, TaskQueue.IMMEDIATE, registry);
    CrashFindings found =
        new CrashFindings(
            List.of(),
            List.of(new CrashFindings.Clearing(RequestTrait.ofPart("s", "p"), 0)),
            List.of(),
            List.of());
    IntStream.range(0, EntryRoster.RELAY_COUNT)
        .forEach(
            copy ->
                crashes.onReport(
                    CrashMessages.broadcastFrame(found, 17, copy, 0).getCrashReport(),
                    new PeerMesh.Sender(reply -> {}, forwarded -> {})));

    assertThat(received(registry)).isEqualTo(1);
  }

  // Guards against evidence that an entry never learns, as too many reports waited when it came.
  @Test
  void entryThatRejectedReportAsksForWhatItLacks() {
    AtomicBoolean isFull = new AtomicBoolean(true);
    CrashDetector rejecting =
        new CrashDetector(
            any -> {},
            () -> true,
            (task, bytes) -> {
              boolean isAccepted = bytes == 0 || !isFull.getAndSet(false);
              Optional.of(task).filter(any -> isAccepted).ifPresent(Runnable::run);
              return isAccepted;
            },
            new PrometheusRegistry());
    List<Frame> broadcasts = new ArrayList<>();
    CrashDetector reporting = new CrashDetector(broadcasts::add);
    PeerMesh.Sender toRejecting =
        new PeerMesh.Sender(
            reply -> rejecting.onReport(reply.getCrashReport(), NOBODY), forwarded -> {});
    PeerMesh.Sender toReporting =
        new PeerMesh.Sender(
            reply -> reporting.onDigest(reply.getCrashDigest(), toRejecting), forwarded -> {});
    RequestTraits request =
        new RequestTraits("s", "w", new RequestIdentity("r"), List.of("p1", "p2"));
    long now = MonotonicClock.millis();
    reporting.onAbandoned(new CrashedRun(request, "t", now - 50, now));
    reporting.onIncarnationEnded("t");
    broadcasts.forEach(frame -> rejecting.onReport(frame.getCrashReport(), toReporting));

    assertThat(rejecting.mayRepeat(request)).isFalse();
  }

  private static double received(PrometheusRegistry registry) {
    return registry.scrape().stream()
        .filter(metric -> metric.getMetadata().getName().equals("ibishub_crash_messages"))
        .flatMap(metric -> ((CounterSnapshot) metric).getDataPoints().stream())
        .filter(point -> "received".equals(point.getLabels().get("cause")))
        .mapToDouble(CounterSnapshot.CounterDataPointSnapshot::getValue)
        .sum();
  }

  // Guards against a limit that goes round for ever, and so never expires, as each entry dates it
  // anew and takes it for a newer one.
  @Test
  void limitOfTargetDoesNotGoRound() {
    List<List<Integer>> furtherLinks = List.of(List.of(5, 6), List.of(6, 7), List.of(7, 5));
    try (CrashExchangeModel model = new CrashExchangeModel(8, furtherLinks)) {
      model.limit(5, "t", 2);

      assertThat(model.deliverAll(MOST_LIMITS, 2)).as("%d messages", model.messages()).isTrue();
    }
  }

  // Guards against findings that reach only the relays, as those take their sender for one of them.
  @Test
  void findingOfEachEntryReachesAll() {
    Set<Integer> incomplete =
        numbers(0, 12).stream()
            .filter(
                finder -> {
                  try (CrashExchangeModel model = new CrashExchangeModel(12, List.of())) {
                    model.crash(finder, "t", 1, PARTS, MonotonicClock.millis());
                    model.deliverAll(MOST);
                    return model.suspecting("p1").size() < 12;
                  }
                })
            .collect(Collectors.toSet());

    assertThat(incomplete).isEmpty();
  }
}
