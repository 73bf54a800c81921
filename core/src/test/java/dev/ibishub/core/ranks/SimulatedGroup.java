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
 * A group of ranks that step together and take commands as the engines do: commands may stay
 * unanswered, and are then carried out seconds later or never. Time is moved by hand.
 */
final class SimulatedGroup {
  private static final long PASS_MILLIS = 60;
  private static final int LATEST_MILLIS = 12_000;

  private final Random random;
  private final double unanswered;
  private final Engine[] engines;
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final List<String> breaches = new ArrayList<>();
  private long now;
  private long step;
  private long nextPassAt = PASS_MILLIS;
  private long heldMillis;
  private long epoch;

  private static final class Engine {
    private long map;
    private long prepared;
    private long highest;
    private long armed;
    private long armedStep;
    private long held = -1;
    private long fence;
  }

  private record Event(long at, long number, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
    }
  }

  private long eventNumber;

  SimulatedGroup(int ranks, double unanswered, Random random) {
    this.unanswered = unanswered;
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

  List<String> breaches() {
    return breaches;
  }

  boolean isAnyHeld() {
    return Arrays.stream(engines).anyMatch(engine -> engine.held >= 0);
  }

  long mapOf(int rank) {
    return engines[rank].map;
  }

  /** Moves time by a millisecond. */
  void advance() {
    now++;
    while (!events.isEmpty() && events.peek().at() <= now) {
      events.poll().action().run();
    }
    if (now >= nextPassAt) {
      tryPass();
    }
  }

  void later(long millis, Runnable action) {
    events.add(new Event(now + millis, eventNumber++, action));
  }

  /** Crashes a rank: the group forms anew and nothing of before is left. */
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
        engine.prepared,
        engine.armed,
        engine.armedStep,
        engine.held < 0 ? OptionalLong.empty() : OptionalLong.of(engine.held),
        now);
  }

  /** Sends a command; {@code onResult} hears of it after a while, perhaps that nothing is known. */
  void send(RankCommand command, BiConsumer<RankCommand, Result> onResult) {
    long way = 1L + random.nextInt(6);
    if (random.nextDouble() >= unanswered) {
      later(
          way,
          () -> {
            Result result = carryOut(command);
            later(way, () -> onResult.accept(command, result));
          });
      return;
    }
    later(130, () -> onResult.accept(command, Result.UNKNOWN));
    int fate = random.nextInt(4);
    if (fate > 0) {
      long delay = fate == 1 ? way : 2_000L + random.nextInt(LATEST_MILLIS - 2_000);
      later(delay, () -> carryOut(command));
    }
  }

  private void tryPass() {
    if (Arrays.stream(engines).anyMatch(engine -> engine.held == step + 1)) {
      heldMillis++;
      return;
    }
    step++;
    nextPassAt = now + PASS_MILLIS;
    for (Engine engine : engines) {
      if (engine.armed > 0 && engine.armedStep == step) {
        engine.map = engine.armed;
        engine.armed = 0;
      }
    }
    long maps = Arrays.stream(engines).mapToLong(engine -> engine.map).distinct().count();
    if (maps > 1) {
      breaches.add("step " + step + " began with " + maps + " maps at " + now);
    }
  }

  private Result carryOut(RankCommand command) {
    Engine engine = engines[command.rank()];
    if (command.epoch() != epoch) {
      return Result.CONFLICT;
    }
    if (command.token() < engine.fence) {
      return Result.FENCED;
    }
    engine.fence = command.token();
    return switch (command.kind()) {
      case PREPARE -> prepare(engine, command);
      case ARM -> arm(engine, command);
      case DISARM -> disarm(engine, command);
      case HOLD -> hold(engine, command);
      case RELEASE -> release(engine, command);
    };
  }

  private Result prepare(Engine engine, RankCommand command) {
    if (command.version() <= engine.highest || engine.armed > 0) {
      return Result.CONFLICT;
    }
    engine.highest = command.version();
    engine.prepared = 0;
    long inEpoch = epoch;
    later(
        50 + random.nextInt(250),
        () -> {
          if (engine.highest == command.version() && inEpoch == epoch) {
            engine.prepared = command.version();
          }
        });
    return Result.DONE;
  }

  private Result arm(Engine engine, RankCommand command) {
    if (engine.armed == command.version() && engine.armedStep == command.step()) {
      return Result.DONE;
    }
    if (engine.prepared != command.version() || command.step() <= step) {
      return Result.CONFLICT;
    }
    engine.armed = command.version();
    engine.armedStep = command.step();
    return Result.DONE;
  }

  private Result disarm(Engine engine, RankCommand command) {
    if (engine.map == command.version()) {
      return Result.CONFLICT;
    }
    if (engine.armed == command.version()) {
      engine.armed = 0;
    }
    return Result.DONE;
  }

  private Result hold(Engine engine, RankCommand command) {
    if (engine.held == command.step()) {
      return Result.DONE;
    }
    if (command.step() <= step || engine.held >= 0) {
      return Result.CONFLICT;
    }
    engine.held = command.step();
    return Result.DONE;
  }

  private Result release(Engine engine, RankCommand command) {
    if (engine.held != command.step()) {
      return Result.CONFLICT;
    }
    engine.held = -1;
    return Result.DONE;
  }
}
