package dev.ibishub.node;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.platform.standins.Deployment;
import dev.ibishub.platform.standins.TargetStandIn;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs entry processes on loopback against targets that end under one part of prompts. */
final class CrashingPartEndToEndTest {
  private static final String SERVICE = "pages";
  private static final String CRASHING_PART = "bad0";
  private static final String SOUND_PART = "50fd";
  private static final int TARGETS = 12;
  private static final long DOWN_MILLIS = 2_500;
  private static final long SOUND_MILLIS = 40;
  private static final long CRASHING_MILLIS = 400;

  /** Crashes after which requests with the part may hardly reach targets any more. */
  private static final int BOUND_CRASHES = 5;

  /** From how long after those crashes the bound holds. */
  private static final Duration BOUND_DELAY = Duration.ofSeconds(3);

  /** Requests with the part that may still reach targets from then on. */
  private static final long BOUND_ARRIVALS = 3;

  private final List<String> entries = List.of("entry-1", "entry-2", "entry-3");
  private final ExecutorService callers = Executors.newCachedThreadPool();
  private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(2);
  private final Queue<Instant> arrivals = new ConcurrentLinkedQueue<>();
  private final Queue<Integer> soundStatuses = new ConcurrentLinkedQueue<>();
  private final Queue<String> quarantined = new ConcurrentLinkedQueue<>();
  private final AtomicInteger soundQuarantined = new AtomicInteger();
  private final AtomicInteger started = new AtomicInteger();
  private Deployment deployment;

  @BeforeEach
  void start() throws IOException, InterruptedException {
    deployment = new Deployment(Deployment.Programs.onThisClassPath(NodeMain.class.getName()));
    deployment.publish(3, SERVICE, "key-1");
    for (int entry = 0; entry < entries.size(); entry++) {
      deployment.startEntry(entries.get(entry), "127.0.1." + (entry + 1), "127.0.1.1");
    }
    deployment.await("all entries listed", this::areAllListed);
  }

  @AfterEach
  void stop() {
    timers.shutdownNow();
    callers.shutdownNow();
    deployment.close();
  }

  private boolean areAllListed() throws IOException, InterruptedException {
    String listed = deployment.resolve("entry-1");
    return entries.stream().allMatch(entry -> listed.contains(deployment.callerAddress(entry)));
  }

  private String nextId() {
    return "i-" + started.incrementAndGet();
  }

  private void prepare(TargetStandIn target, boolean silently) {
    target.crashOnPart(
        CRASHING_PART,
        silently,
        () -> {
          arrivals.add(Instant.now());
          timers.schedule(() -> replace(target, silently), DOWN_MILLIS, TimeUnit.MILLISECONDS);
        });
  }

  private void replace(TargetStandIn ended, boolean silently) {
    try {
      prepare(deployment.replaceTarget(ended, nextId(), SERVICE), silently);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void callEvery(long periodMillis, List<String> parts) {
    AtomicInteger count = new AtomicInteger();
    timers.scheduleAtFixedRate(
        () -> {
          String entry = entries.get(count.incrementAndGet() % entries.size());
          callers.execute(() -> call(entry, parts));
        },
        periodMillis,
        periodMillis,
        TimeUnit.MILLISECONDS);
  }

  private void call(String entry, List<String> parts) {
    try {
      HttpResponse<String> response = deployment.stream(entry, parts);
      boolean isQuarantined = response.body().contains("\"code\":2013");
      if (parts.contains(CRASHING_PART)) {
        quarantined.addAll(isQuarantined ? List.of(entry) : List.of());
      } else {
        soundStatuses.add(response.statusCode());
        soundQuarantined.addAndGet(isQuarantined ? 1 : 0);
      }
    } catch (IOException e) {
      // The stream was broken off.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  // Guards against requests, no two alike, that end one target after the other at all entries.
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void requestsWithCrashingPartAreStoppedAtAllEntries(boolean silently)
      throws IOException, InterruptedException {
    for (int target = 0; target < TARGETS; target++) {
      prepare(deployment.startTarget(nextId(), "127.0.0.1", SERVICE), silently);
    }
    callEvery(SOUND_MILLIS, List.of(SOUND_PART));
    deployment.await("sound requests served", () -> soundStatuses.size() > TARGETS);
    callEvery(CRASHING_MILLIS, List.of(SOUND_PART, CRASHING_PART));
    deployment.await("quarantined everywhere", () -> quarantined.containsAll(entries));
    Thread.sleep(BOUND_DELAY.toMillis());
    int served = soundStatuses.size();
    deployment.await("sound requests go on", () -> soundStatuses.size() > served + TARGETS);

    assertThat(lateArrivals()).as("arrivals at %s", arrivals).isLessThanOrEqualTo(BOUND_ARRIVALS);
    assertThat(soundQuarantined).hasValue(0);
  }

  private long lateArrivals() {
    List<Instant> all = List.copyOf(arrivals);
    return IntStream.range(0, all.size())
        .filter(number -> all.size() > BOUND_CRASHES)
        .filter(number -> all.get(number).isAfter(all.get(BOUND_CRASHES - 1).plus(BOUND_DELAY)))
        .count();
  }
}
