package dev.ibishub.core.ranks;

import dev.ibishub.core.ranks.RankCommand.Result;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.BiConsumer;
import java.util.stream.IntStream;

/**
 * Simulated group of ranks that run in lock-step and execute commands as engines do: a command may
 * stay unanswered, and is then executed at once, seconds later or never. Time advances only by
 * {@link #advance}. {@code dev.ibishub.core.FakeGroup} is the counterpart for {@code GroupLeader}.
 */
final class SimulatedGroup {
  private static final long STEP_MILLIS = 60;
  private static final int MAXIMUM_DELAY_MILLIS = 12_000;

  private final Random random;
  private final double unansweredProbability;
  private final Engine[] engines;
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final List<String> violations = new ArrayList<>();
  private long now;
  private long step;
  private long nextStepAt = STEP_MILLIS;
  private long heldMillis;
  private long epoch;

  private static final class Engine {
    private long map;
    private long preparedVersion;
    private long highestVersion;
    private long armedVersion;
    private long armedStep;
    private long heldStep = -1;
    private long highestToken;
  }

  private record Event(long at, long sequence, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(sequence, other.sequence);
    }
  }

  private long nextEventSequence;

  SimulatedGroup(int ranks, double unansweredProbability, Random random) {
    this.unansweredProbability = unansweredProbability;
    this.random = random;
    this.engines = IntStream.range(0, ranks).mapToObj(rank -> new Engine()).toArray(Engine[]::new);
  }

  long now() {
    return now;
  }

  long step() {
    return step;
  }

  long heldMillis() {
    return heldMillis;
  }

  List<String> violations() {
    return violations;
  }

  boolean isAnyHeld() {
    return Arrays.stream(engines).anyMatch(engine -> engine.heldStep >= 0);
  }

  long mapOf(int rank) {
    return engines[rank].map;
  }

  /** Advances the time by 1 ms. */
  void advance() {
    now++;
    while (!events.isEmpty() && events.peek().at() <= now) {
      events.poll().action().run();
    }
    if (now >= nextStepAt) {
      tryStep();
    }
  }

  void schedule(long millis, Runnable action) {
    events.add(new Event(now + millis, nextEventSequence++, action));
  }

  /** Crashes a rank: the group forms again in a new epoch, and all earlier state is lost. */
  void crash() {
    epoch++;
    Arrays.setAll(engines, rank -> new Engine());
  }

  RankView view(int rank) {
    Engine engine = engines[rank];
    return new RankView(
        epoch,
        true,
        step,
        engine.map,
        engine.preparedVersion,
        engine.armedVersion,
        engine.armedStep,
        engine.heldStep < 0 ? OptionalLong.empty() : OptionalLong.of(engine.heldStep),
        now);
  }

  /** Sends a command. {@code onResult} is called after a delay, possibly with an unknown result. */
  void send(RankCommand command, BiConsumer<RankCommand, Result> onResult) {
    long networkDelayMillis = 1L + random.nextInt(6);
    if (random.nextDouble() >= unansweredProbability) {
      schedule(
          networkDelayMillis,
          () -> {
            Result result = execute(command);
            schedule(networkDelayMillis, () -> onResult.accept(command, result));
          });
      return;
    }
    schedule(130, () -> onResult.accept(command, Result.UNKNOWN));
    int outcome = random.nextInt(4);
    if (outcome > 0) {
      long delay =
          outcome == 1 ? networkDelayMillis : 2_000L + random.nextInt(MAXIMUM_DELAY_MILLIS - 2_000);
      schedule(delay, () -> execute(command));
    }
  }

  private void tryStep() {
    if (Arrays.stream(engines).anyMatch(engine -> engine.heldStep == step + 1)) {
      heldMillis++;
      return;
    }
    step++;
    nextStepAt = now + STEP_MILLIS;
    for (Engine engine : engines) {
      if (engine.armedVersion > 0 && engine.armedStep == step) {
        engine.map = engine.armedVersion;
        engine.armedVersion = 0;
      }
    }
    long maps = Arrays.stream(engines).mapToLong(engine -> engine.map).distinct().count();
    if (maps > 1) {
      violations.add("step " + step + " began with " + maps + " maps at " + now);
    }
  }

  private Result execute(RankCommand command) {
    Engine engine = engines[command.rank()];
    if (command.epoch() != epoch) {
      return Result.CONFLICT;
    }
    if (command.token() < engine.highestToken) {
      return Result.FENCED;
    }
    engine.highestToken = command.token();
    return switch (command.kind()) {
      case PREPARE -> prepare(engine, command);
      case ARM -> arm(engine, command);
      case DISARM -> disarm(engine, command);
      case HOLD -> hold(engine, command);
      case RELEASE -> release(engine, command);
    };
  }

  private Result prepare(Engine engine, RankCommand command) {
    if (command.version() <= engine.highestVersion || engine.armedVersion > 0) {
      return Result.CONFLICT;
    }
    engine.highestVersion = command.version();
    engine.preparedVersion = 0;
    long epochAtStart = epoch;
    schedule(
        50 + random.nextInt(250),
        () -> {
          if (engine.highestVersion == command.version() && epochAtStart == epoch) {
            engine.preparedVersion = command.version();
          }
        });
    return Result.DONE;
  }

  private Result arm(Engine engine, RankCommand command) {
    if (engine.armedVersion == command.version() && engine.armedStep == command.step()) {
      return Result.DONE;
    }
    if (engine.preparedVersion != command.version() || command.step() <= step) {
      return Result.CONFLICT;
    }
    engine.armedVersion = command.version();
    engine.armedStep = command.step();
    return Result.DONE;
  }

  private Result disarm(Engine engine, RankCommand command) {
    if (engine.map == command.version()) {
      return Result.CONFLICT;
    }
    if (engine.armedVersion == command.version()) {
      engine.armedVersion = 0;
    }
    return Result.DONE;
  }

  private Result hold(Engine engine, RankCommand command) {
    if (engine.heldStep == command.step()) {
      return Result.DONE;
    }
    if (command.step() <= step || engine.heldStep >= 0) {
      return Result.CONFLICT;
    }
    engine.heldStep = command.step();
    return Result.DONE;
  }

  private Result release(Engine engine, RankCommand command) {
    if (engine.heldStep != command.step()) {
      return Result.CONFLICT;
    }
    engine.heldStep = -1;
    return Result.DONE;
  }
}
