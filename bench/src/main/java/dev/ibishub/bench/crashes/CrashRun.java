package dev.ibishub.bench.crashes;

import dev.ibishub.bench.model.EventQueue;
import dev.ibishub.core.serving.CrashedRun;
import dev.ibishub.core.serving.RequestIdentity;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

/** One run of a fleet of targets with guilty and innocent requests under one policy. */
final class CrashRun {
  private static final double RUN_SECONDS = 2;

  /** A guilty request takes its target down this long after it began to run. */
  private static final double FUSE_SECONDS = 0.05;

  private static final double DOWN_SECONDS = 4.5;
  private static final double RESEND_SECONDS = 0.01;
  private static final double RETRY_SECONDS = 0.5;
  private static final double COMES_AGAIN_SECONDS = 3;
  private static final int RUNS_OF_AN_ATTEMPT = 2;
  private static final int ATTEMPTS_OF_A_CALLER = 2;
  private static final double MILLIS = 1_000;
  private static final double SECONDS = 90;

  private final Scenario scenario;
  private final BlamePolicy policy;
  private final Random random;
  private final EventQueue clock = new EventQueue();
  private final Map<Integer, List<Running>> running = new HashMap<>();
  private final int[] lives;
  private final boolean[] isDown;
  private final Map<RequestIdentity, Integer> crashesCaused = new HashMap<>();
  private final Set<RequestIdentity> quarantined = new HashSet<>();
  private int innocents;
  private int brokenOff;
  private int failed;

  /**
   * What is played.
   *
   * @param beside requests that run at a target in the mean
   * @param guilty requests that crash targets, each coming again and again
   * @param crashingPart part of the targets that crash together by another cause each ten seconds
   */
  record Scenario(String name, int targets, double beside, int guilty, double crashingPart) {}

  /** One caller's request on its way through attempts and runs. */
  private record Request(RequestIdentity identity, boolean isGuilty, int attempt, int runs) {}

  private record Running(Request request, long sentAt, Runnable onBroken) {}

  CrashRun(Scenario scenario, BlamePolicy policy, long seed) {
    this.scenario = scenario;
    this.policy = policy;
    this.random = new Random(seed);
    this.lives = new int[scenario.targets()];
    this.isDown = new boolean[scenario.targets()];
  }

  List<Object> play(String name) {
    arrive();
    IntStream.range(0, scenario.guilty()).forEach(this::comeAgain);
    clock.every(10, this::crashPart);
    clock.runUntil(SECONDS);
    int most = crashesCaused.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    int all = crashesCaused.values().stream().mapToInt(Integer::intValue).sum();
    return List.of(name, all, most, innocents, brokenOff, failed, quarantined.size());
  }

  private static RequestIdentity identity(String name) {
    return RequestIdentity.of(name, "", new byte[0]);
  }

  private void arrive() {
    double perSecond = scenario.targets() * scenario.beside() / RUN_SECONDS;
    clock.after(
        -Math.log(1 - random.nextDouble()) / perSecond,
        () -> {
          innocents++;
          send(new Request(identity("innocent " + innocents), false, 1, 0));
          arrive();
        });
  }

  private void comeAgain(int number) {
    clock.after(
        COMES_AGAIN_SECONDS * random.nextDouble(),
        () -> {
          send(new Request(identity("guilty " + number), true, 1, 0));
          clock.after(COMES_AGAIN_SECONDS, () -> comeAgain(number));
        });
  }

  private void crashPart() {
    IntStream.range(0, scenario.targets())
        .filter(target -> random.nextDouble() < scenario.crashingPart())
        .forEach(this::crash);
  }

  private long now() {
    return (long) (clock.seconds() * MILLIS);
  }

  private void send(Request request) {
    if (policy.isQuarantined(request.identity(), now())) {
      if (!request.isGuilty()) {
        quarantined.add(request.identity());
        failed++;
      }
      return;
    }
    int[] up = IntStream.range(0, scenario.targets()).filter(each -> !isDown[each]).toArray();
    if (up.length == 0) {
      fail(request);
      return;
    }
    int target = up[random.nextInt(up.length)];
    Request begun =
        new Request(request.identity(), request.isGuilty(), request.attempt(), request.runs() + 1);
    Running run = new Running(begun, now(), () -> goOn(begun));
    running.computeIfAbsent(target, any -> new ArrayList<>()).add(run);
    clock.after(begun.isGuilty() ? FUSE_SECONDS : RUN_SECONDS, () -> end(target, run));
  }

  private void end(int target, Running run) {
    if (!running.getOrDefault(target, List.of()).contains(run)) {
      return;
    }
    if (run.request().isGuilty()) {
      crashesCaused.merge(run.request().identity(), 1, Integer::sum);
      crash(target);
      return;
    }
    running.get(target).remove(run);
    policy.onCompleted(run.request().identity());
  }

  private void crash(int target) {
    if (isDown[target]) {
      return;
    }
    isDown[target] = true;
    List<Running> ranThere = running.getOrDefault(target, List.of());
    running.remove(target);
    String life = target + "@" + lives[target]++;
    policy.onCrash(
        ranThere.stream()
            .map(run -> new CrashedRun(run.request().identity(), life, run.sentAt(), now()))
            .toList());
    brokenOff += (int) ranThere.stream().filter(run -> !run.request().isGuilty()).count();
    ranThere.forEach(run -> clock.after(RESEND_SECONDS, run.onBroken()));
    clock.after(DOWN_SECONDS, () -> isDown[target] = false);
  }

  private void goOn(Request request) {
    if (request.runs() < RUNS_OF_AN_ATTEMPT) {
      send(request);
    } else if (request.attempt() < ATTEMPTS_OF_A_CALLER) {
      Request again = new Request(request.identity(), request.isGuilty(), request.attempt() + 1, 0);
      clock.after(RETRY_SECONDS, () -> send(again));
    } else {
      fail(request);
    }
  }

  private void fail(Request request) {
    failed += request.isGuilty() ? 0 : 1;
  }
}
