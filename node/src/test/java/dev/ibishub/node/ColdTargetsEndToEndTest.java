package dev.ibishub.node;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.platform.standins.Deployment;
import dev.ibishub.platform.standins.TargetStandIn;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Runs entry processes on loopback against targets that crash while they are cold. */
final class ColdTargetsEndToEndTest {
  private static final double TOLERATED_PER_SECOND = 4;
  private static final String COLD_SETTINGS = ",\"coldOverrun\":1.5,\"coldSlack\":2";

  /** 4 x 1.5 + 2. */
  private static final int BOUND = 8;

  private static final Duration COLD = Duration.ofSeconds(12);
  private static final int CALLERS_OF_ENTRY = 4;
  private static final long CALLER_PAUSE_MILLIS = 20;
  private static final int SERVED_WHILE_WARM = 500;

  private final List<String> entries = List.of("entry-1", "entry-2", "entry-3");
  private final ExecutorService callers = Executors.newCachedThreadPool();
  private final AtomicBoolean isOver = new AtomicBoolean();
  private final AtomicInteger served = new AtomicInteger();
  private Deployment deployment;

  @BeforeEach
  void start() throws IOException, InterruptedException {
    deployment = new Deployment(Deployment.Programs.onThisClassPath(NodeMain.class.getName()));
    deployment.limitColdPages(TOLERATED_PER_SECOND);
    deployment.publish(3, "pages", "key-1");
    deployment.startEntry("entry-1", "127.0.1.1", "127.0.1.1", COLD_SETTINGS);
    deployment.startEntry("entry-2", "127.0.1.2", "127.0.1.1", COLD_SETTINGS);
    deployment.startEntry("entry-3", "127.0.1.3", "127.0.1.1", COLD_SETTINGS);
    deployment.await("all entries listed", this::areAllListed);
  }

  @AfterEach
  void stop() throws InterruptedException {
    isOver.set(true);
    callers.shutdown();
    assertThat(callers.awaitTermination(60, TimeUnit.SECONDS)).isTrue();
    deployment.close();
  }

  private boolean areAllListed() throws IOException, InterruptedException {
    String listed = deployment.resolve("entry-1");
    return entries.stream().allMatch(entry -> listed.contains(deployment.callerAddress(entry)));
  }

  private void callUntilOver(String entry) {
    while (!isOver.get()) {
      try {
        int status = deployment.call(entry, "GET", "/page/x", "key-1").statusCode();
        served.addAndGet(status == 200 ? 1 : 0);
        Thread.sleep(CALLER_PAUSE_MILLIS);
      } catch (IOException e) {
        // The target or the entry ended; the next call shows whether it is back.
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  private void startCallers() {
    entries.stream()
        .flatMap(entry -> Stream.generate(() -> entry).limit(CALLERS_OF_ENTRY))
        .forEach(entry -> callers.execute(() -> callUntilOver(entry)));
  }

  // Guards against targets that crash as a whole zone of them comes back at once while callers
  // wait, since each entry sends them what it has.
  @Test
  void zoneThatComesBackColdSurvivesWaitingCallers() throws IOException, InterruptedException {
    startCallers();
    List<TargetStandIn> targets = new ArrayList<>();
    for (String id : List.of("c-1", "c-2", "c-3")) {
      targets.add(deployment.startColdTarget(id, "127.0.0.1", "pages", COLD, BOUND));
    }
    Instant warmAt = Instant.now().plus(COLD);
    deployment.await(
        "cold targets in use",
        () -> targets.stream().allMatch(target -> target.executedAttempts().size() > BOUND));
    assertThat(Instant.now()).isBefore(warmAt);
    deployment.await("cold period over", () -> Instant.now().isAfter(warmAt));
    assertThat(targets).noneMatch(TargetStandIn::hasCrashed);

    int servedWhileCold = served.get();
    deployment.await(
        "warm targets serve all", () -> served.get() > servedWhileCold + SERVED_WHILE_WARM);
    assertThat(deployment.logOf("entry-1")).contains("target.cold").contains("target.warm");
  }

  // Guards against requests to a cold target while a warm one is free, and against a warm target
  // in use that turns cold unnoticed.
  @Test
  void warmTargetServesWhileOtherIsCold() throws IOException, InterruptedException {
    TargetStandIn first = deployment.startTarget("w-1", "127.0.0.1", "pages");
    TargetStandIn second = deployment.startTarget("w-2", "127.0.0.1", "pages");
    startCallers();
    deployment.await(
        "both in use",
        () -> !first.executedAttempts().isEmpty() && !second.executedAttempts().isEmpty());
    first.becomeCold(COLD, Integer.MAX_VALUE);
    deployment.store().put("keyed.servers", "w-1", first.announcement("pages", "ready"));
    for (String entry : entries) {
      deployment.await("told", () -> deployment.logOf(entry).contains("target.cold"));
    }
    int before = first.executedAttempts().size();
    int servedBefore = served.get();
    deployment.await("warm target serves", () -> served.get() > servedBefore + SERVED_WHILE_WARM);
    assertThat(first.executedAttempts().size() - before).isLessThanOrEqualTo(CALLERS_OF_ENTRY);
  }
}
