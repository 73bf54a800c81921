package dev.ibishub.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests requests that share one part of their prompts, which ends each target that answers it. */
final class CrashingPartTest {
  private static final String CRASHING_PART = "bad";
  private static final List<String> FIRST_PARTS = List.of("first1", "first2", "first3");
  private static final int ENTRIES = 4;
  private static final int TARGETS = 10;

  /** Most targets that may end under one part while reports travel between entries. */
  private static final int MAXIMUM_CRASHES = 5;

  /** Time until a target is back, milliseconds. */
  private static final int DOWN_MILLIS = 2_500;

  private static final int SOUND_MILLIS = 25;
  private static final int CRASHING_MILLIS = 250;
  private static final int LENGTH_MILLIS = 8_000;

  private final EntryFleet entries = new EntryFleet();
  private final List<CrashingTarget> targets = new ArrayList<>();
  private final AtomicInteger crashes = new AtomicInteger();
  private final AtomicInteger incarnations = new AtomicInteger();
  private final Queue<String> soundResponses = new ConcurrentLinkedQueue<>();
  private final Queue<String> crashingResponses = new ConcurrentLinkedQueue<>();
  private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(4);
  private final ExecutorService callers = Executors.newCachedThreadPool();
  private final Random random = new Random(1);

  @BeforeEach
  void start() throws IOException {
    for (int entry = 0; entry < ENTRIES; entry++) {
      entries.addEntry();
    }
  }

  @AfterEach
  void stop() {
    timers.shutdownNow();
    callers.shutdownNow();
    entries.close();
    targets.forEach(CrashingTarget::close);
  }

  private synchronized void startTarget(int port, CrashingTarget.End end) {
    String id = "t" + incarnations.incrementAndGet();
    try {
      CrashingTarget[] started = new CrashingTarget[1];
      started[0] =
          new CrashingTarget(
              port,
              head -> head.contains(CRASHING_PART),
              end,
              () -> {
                crashes.incrementAndGet();
                timers.schedule(
                    () -> replace(id, started[0], end), DOWN_MILLIS, TimeUnit.MILLISECONDS);
              });
      targets.add(started[0]);
      entries.announce(id, started[0].portNumber());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void replace(String id, CrashingTarget ended, CrashingTarget.End end) {
    ended.closeSockets();
    startTarget(ended.portNumber(), end);
    entries.drop(id);
  }

  private void startTargets(CrashingTarget.End end) {
    IntStream.range(0, TARGETS).forEach(number -> startTarget(0, end));
  }

  private void callEvery(int periodMillis, Queue<String> responses, String... furtherParts) {
    AtomicInteger count = new AtomicInteger();
    timers.scheduleAtFixedRate(
        () -> {
          String name = furtherParts.length + "x" + count.incrementAndGet();
          List<String> parts = new ArrayList<>();
          parts.add(FIRST_PARTS.get(random.nextInt(FIRST_PARTS.size())));
          parts.addAll(List.of(furtherParts));
          int entry = random.nextInt(entries.size());
          callers.execute(() -> call(entry, name, parts, responses));
        },
        periodMillis,
        periodMillis,
        TimeUnit.MILLISECONDS);
  }

  private void call(int entry, String name, List<String> parts, Queue<String> responses) {
    try {
      responses.add(entries.call(entry, name, parts));
    } catch (IOException e) {
      responses.add("failed: " + e);
    }
  }

  private static long countOf(Queue<String> responses, String text) {
    return responses.stream().filter(response -> response.contains(text)).count();
  }

  private String summary() {
    return "%d targets ended, sound responses %s, others %s"
        .formatted(crashes.get(), byStatus(soundResponses), byStatus(crashingResponses));
  }

  private static Object byStatus(Queue<String> responses) {
    return responses.stream()
        .collect(
            Collectors.groupingBy(
                response -> response.substring(0, Math.min(12, response.length())),
                Collectors.counting()));
  }

  // Guards against requests, no two alike, that end one target after the other as they share a part
  // of their prompts.
  @ParameterizedTest
  @EnumSource
  void fewTargetsEndUnderRequestsWithCrashingPart(CrashingTarget.End end)
      throws InterruptedException {
    startTargets(end);
    callEvery(SOUND_MILLIS, soundResponses);
    callEvery(CRASHING_MILLIS, crashingResponses, CRASHING_PART);
    Thread.sleep(LENGTH_MILLIS);

    assertThat(crashes.get()).as(this::summary).isBetween(1, mostCrashes(end));
    assertThat(countOf(crashingResponses, "\"code\":2013")).as(this::summary).isPositive();
    assertThat(countOf(soundResponses, "\"code\":2013")).as(this::summary).isZero();
  }

  /**
   * Returns the most crashes that are allowed. A target that falls silent is known to have ended
   * only once its successor is announced, and further requests reach others until then.
   */
  private static int mostCrashes(CrashingTarget.End end) {
    return end == CrashingTarget.End.SILENT
        ? MAXIMUM_CRASHES + DOWN_MILLIS / CRASHING_MILLIS
        : MAXIMUM_CRASHES;
  }

  // Guards against an entry that starts without what the others know and lets targets end anew.
  @Test
  void entryThatStartsLaterSendsNoRequestWithCrashingPart()
      throws InterruptedException, IOException {
    startTargets(CrashingTarget.End.AT_ONCE);
    callEvery(SOUND_MILLIS, soundResponses);
    callEvery(CRASHING_MILLIS, crashingResponses, CRASHING_PART);
    Thread.sleep(LENGTH_MILLIS / 2);
    int before = crashes.get();
    entries.addEntry();
    entries.announceToNewest("late", targets.get(TARGETS - 1).portNumber());

    String response =
        entries.call(entries.size() - 1, "late", List.of(FIRST_PARTS.get(0), CRASHING_PART));

    assertThat(response).as(this::summary).contains("\"code\":2013");
    assertThat(crashes.get()).as(this::summary).isEqualTo(before);
  }
}
