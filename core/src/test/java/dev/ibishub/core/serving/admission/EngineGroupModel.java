package dev.ibishub.core.serving.admission;

import dev.ibishub.core.serving.SendRate;
import dev.ibishub.core.serving.TargetChoice;
import dev.ibishub.core.serving.TargetLoad;
import dev.ibishub.core.serving.TargetReport;
import dev.ibishub.core.serving.TargetSpread;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.DoubleUnaryOperator;
import java.util.function.LongPredicate;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Entries, callers and one group of engines in lock-step, in virtual time of one millisecond a
 * tick. Streams only; nothing is retried after it ran.
 */
final class EngineGroupModel {
  static final int SLOTS = 7;
  static final int PIECES = 23;
  static final long PAUSE_OBJECTIVE = 120;
  static final double BASE_PASS_MILLIS = 35.1;
  static final double PASS_MILLIS_PER_REQUEST = 4.0;
  private static final double EXPERT_SHARE = 0.6;
  private static final double PROMPT_TOKENS_PER_MILLI = 61.2;
  private static final int CHUNK_TOKENS = 1_024;
  private static final long DEADLINE = 8_000;
  private static final long ONE_WAY = 2;

  private static final long REPORT_PERIOD = 200;
  private static final long REPORT_TRANSIT = 150;

  /** A class of requests. */
  record Kind(String name, int priority, double perSecond, int prompt, long objective) {
    long patience() {
      return Math.max(2_000, 4 * objective);
    }
  }

  static final List<Kind> ROUTE_PLANNING =
      List.of(
          new Kind("guidance", 0, 56.2, 714, 403),
          new Kind("brief", 1, 24.6, 827, 403),
          new Kind("replanning", 2, 73.5, 1_000, 1_003));

  /** Course of a play; all as functions of the time. */
  record Play(
      List<Kind> kinds,
      long millis,
      Map<Integer, DoubleUnaryOperator> loadByPriority,
      DoubleUnaryOperator skew,
      LongPredicate stands) {}

  /** What callers got. */
  static final class Tally {
    int arrived;
    int inTime;
    int late;
    int refused;
    int left;
    int refusedOnce;
    int refusedAgain;

    private void add(Tally other) {
      arrived += other.arrived;
      inTime += other.inTime;
      late += other.late;
      refused += other.refused;
      left += other.left;
    }

    double inTimeShare() {
      return arrived == 0 ? 1 : (double) inTime / arrived;
    }

    double servedShare() {
      return arrived == 0 ? 1 : (double) (inTime + late) / arrived;
    }

    @Override
    public String toString() {
      return "arrived %5d in time %5d late %4d refused %4d left %4d, refused once %4d again %4d"
          .formatted(arrived, inTime, late, refused, left, refusedOnce, refusedAgain);
    }
  }

  /** One request of a caller. */
  static final class Call {
    final Kind kind;
    final int entry;
    final long firstArrivedAt;
    final int prompt;
    final int pieces;
    long arrivedAt;
    boolean isReturning;
    boolean isWaiting;
    boolean isOver;
    int rank = -1;
    int promptLeft;
    int piecesSent;
    long firstPieceAt = -1;
    long lastPieceAt;
    long longestPause;

    Call(Kind kind, int entry, long now, int prompt, int pieces) {
      this.kind = kind;
      this.entry = entry;
      firstArrivedAt = now;
      arrivedAt = now;
      this.prompt = prompt;
      this.pieces = pieces;
    }

    AdmissionRequest request() {
      return new AdmissionRequest(
          kind.priority(),
          "",
          arrivedAt,
          firstArrivedAt + DEADLINE,
          kind.objective(),
          kind.patience(),
          isReturning,
          prompt);
    }
  }

  /** The rule under test, at one entry. */
  interface Rule {
    void arrive(Entry entry, Call call, long now);

    default void tick(Entry entry, long now) {}

    default void onPiece(Call call, long pause, long now) {}

    default void onEnded(Call call) {}

    default void onLeft(Call call) {}
  }

  private record Timed(long at, Runnable action) {}

  private record Shipment(long at, int rank, TargetReport report) {}

  /** One entry with its view of the targets. */
  final class Entry {
    final int number;
    final Rule rule;
    final List<TargetLoad> loads =
        IntStream.range(0, ranks).mapToObj(any -> new TargetLoad()).toList();
    final SendRate sendRate = new SendRate();
    final List<Integer> order = new ArrayList<>(IntStream.range(0, ranks).boxed().toList());

    Entry(int number, Rule rule) {
      this.number = number;
      this.rule = rule;
    }

    OptionalInt choose(double maximumRequests, long now) {
      Collections.shuffle(order, random);
      List<TargetChoice.Candidate> candidates =
          order.stream()
              .map(
                  rank ->
                      new TargetChoice.Candidate(
                          Integer.toString(rank), rank % 3 == number % 3, loads.get(rank)))
              .toList();
      Optional<TargetChoice.Candidate> chosen =
          targetChoice(maximumRequests, now).choose(candidates, Set.of(), now);
      return chosen.isEmpty()
          ? OptionalInt.empty()
          : OptionalInt.of(Integer.parseInt(chosen.get().id()));
    }

    private TargetChoice targetChoice(double maximumRequests, long now) {
      return isSpread
          ? new TargetChoice(
              entries.size(),
              maximumRequests,
              sendRate.perMilli(now) * (entries.size() - 1),
              TargetSpread.levelling(random.nextDouble()))
          : new TargetChoice(entries.size(), maximumRequests);
    }

    ServiceLoad load(long now) {
      ServiceLoad.Sum sum = new ServiceLoad.Sum(SLOTS);
      loads.forEach(each -> each.addTo(sum, now, entries.size()));
      return sum.total(now, entries.size());
    }

    void send(Call call, int rank, long now) {
      loads.get(rank).onSent(now);
      sendRate.onSent(now);
      call.rank = rank;
      call.promptLeft = call.prompt;
      at(now + ONE_WAY, () -> queues.get(rank).add(call));
    }

    void refuse(Call call, long retryAfter, long now) {
      call.isWaiting = false;
      Tally tally = tallies.get(call.kind.name());
      if (call.isReturning) {
        tally.refusedAgain++;
        end(call, Result.REFUSED);
        return;
      }
      tally.refusedOnce++;
      long left = call.firstArrivedAt + DEADLINE - now;
      at(now + Math.min(retryAfter, left / 3), () -> returnAt(call));
    }

    private void returnAt(Call call) {
      call.isReturning = true;
      call.arrivedAt = clock;
      scheduleLeave(call, clock);
      rule.arrive(this, call, clock);
    }
  }

  private enum Result {
    IN_TIME,
    LATE,
    REFUSED,
    LEFT
  }

  private final Play play;

  /** Whether requests are spread by {@link TargetSpread#levelling}; if not, by the lowest cost. */
  private final boolean isSpread;

  private final Random random;
  private final Random arrivalRandom;
  private final int ranks;
  final List<Entry> entries = new ArrayList<>();
  private final List<List<Call>> queues;
  private final List<List<Call>> running;
  private final PriorityQueue<Timed> timers =
      new PriorityQueue<>(Comparator.comparingLong(Timed::at));
  private final Deque<Shipment> shipments = new ArrayDeque<>();
  final Map<String, Tally> tallies = new TreeMap<>();

  /** In time and arrived, by second and class. */
  final Map<Long, Map<String, Tally>> bySecond = new TreeMap<>();

  private long clock;
  private long passEndsAt;
  private long step;

  EngineGroupModel(
      Play play, int ranks, int entryCount, long seed, boolean isSpread, Supplier<Rule> rules) {
    this.play = play;
    this.isSpread = isSpread;
    this.ranks = ranks;
    random = new Random(seed);
    arrivalRandom = new Random(seed);
    queues = lists(ranks);
    running = lists(ranks);
    play.kinds().forEach(kind -> tallies.put(kind.name(), new Tally()));
    IntStream.range(0, entryCount).forEach(number -> entries.add(new Entry(number, rules.get())));
  }

  private static List<List<Call>> lists(int count) {
    return IntStream.range(0, count).<List<Call>>mapToObj(any -> new ArrayList<>()).toList();
  }

  private void at(long time, Runnable action) {
    timers.add(new Timed(Math.max(time, clock + 1), action));
  }

  void run() {
    for (clock = 0; clock < play.millis() + DEADLINE; clock++) {
      while (!timers.isEmpty() && timers.peek().at() <= clock) {
        timers.poll().action().run();
      }
      if (clock < play.millis()) {
        play.kinds().forEach(this::arrivals);
      }
      reports();
      if (clock >= passEndsAt && !play.stands().test(clock)) {
        endPass();
        beginPass();
      }
      entries.forEach(entry -> entry.rule.tick(entry, clock));
    }
  }

  private void arrivals(Kind kind) {
    double factor = play.loadByPriority().get(kind.priority()).applyAsDouble((double) clock);
    if (arrivalRandom.nextDouble() < kind.perSecond() * factor / 1_000) {
      int prompt = (int) Math.min(3.0 * kind.prompt(), 50 + exponential(kind.prompt() * 1.05));
      int pieces = 1 + (int) Math.min(3 * PIECES, exponential(PIECES));
      Entry entry = entries.get(arrivalRandom.nextInt(entries.size()));
      Call call = new Call(kind, entry.number, clock, prompt, pieces);
      tallies.get(kind.name()).arrived++;
      second(call).arrived++;
      scheduleLeave(call, clock);
      entry.rule.arrive(entry, call, clock);
    }
  }

  private double exponential(double mean) {
    return -mean * Math.log(1 - arrivalRandom.nextDouble());
  }

  /** Returns what the callers of a class got that arrived in the given second or later. */
  Tally since(long second, String kind) {
    Tally sum = new Tally();
    bySecond.entrySet().stream()
        .filter(each -> each.getKey() >= second)
        .flatMap(each -> Stream.ofNullable(each.getValue().get(kind)))
        .forEach(sum::add);
    return sum;
  }

  private Tally second(Call call) {
    return bySecond
        .computeIfAbsent(call.firstArrivedAt / 1_000, key -> new TreeMap<>())
        .computeIfAbsent(call.kind.name(), key -> new Tally());
  }

  /** The caller leaves after a gap; a refused call starts its time anew as it returns. */
  private void scheduleLeave(Call call, long since) {
    at(since + call.kind.patience(), () -> leaveIfSilent(call, since));
  }

  private void leaveIfSilent(Call call, long since) {
    long heardAt = call.firstPieceAt < 0 ? call.arrivedAt : call.lastPieceAt;
    boolean isAwaiting = call.rank >= 0 || call.isWaiting;
    if (call.isOver || !isAwaiting) {
      return;
    }
    if (heardAt > since) {
      scheduleLeave(call, heardAt);
      return;
    }
    entries.get(call.entry).rule.onLeft(call);
    end(call, Result.LEFT);
  }

  private void end(Call call, Result result) {
    call.isOver = true;
    call.isWaiting = false;
    if (call.rank >= 0) {
      Entry entry = entries.get(call.entry);
      entry.loads.get(call.rank).onEnded();
      entry.rule.onEnded(call);
    }
    for (Tally tally : List.of(tallies.get(call.kind.name()), second(call))) {
      switch (result) {
        case IN_TIME -> tally.inTime++;
        case LATE -> tally.late++;
        case REFUSED -> tally.refused++;
        case LEFT -> tally.left++;
        default -> throw new IllegalStateException(result.toString());
      }
    }
  }

  private void reports() {
    for (int rank = 0; rank < ranks; rank++) {
      if ((clock + rank * 3L) % REPORT_PERIOD == 0) {
        int requests = queues.get(rank).size() + running.get(rank).size();
        shipments.add(
            new Shipment(
                clock + REPORT_TRANSIT,
                rank,
                new TargetReport(
                    requests, 1, true, clock, Optional.empty(), OptionalLong.of(step))));
      }
    }
    while (!shipments.isEmpty() && shipments.peek().at() <= clock) {
      Shipment shipment = shipments.poll();
      entries.forEach(entry -> entry.loads.get(shipment.rank()).onReport(shipment.report()));
    }
  }

  private void beginPass() {
    step += 6;
    double tokenMillis = 0;
    double most = 0;
    for (int rank = 0; rank < ranks; rank++) {
      List<Call> queue = queues.get(rank);
      List<Call> slots = running.get(rank);
      queue.removeIf(call -> call.isOver);
      slots.removeIf(call -> call.isOver);
      queue.sort(Comparator.comparingInt(call -> call.kind.priority()));
      while (!queue.isEmpty() && slots.size() < SLOTS) {
        slots.add(queue.remove(0));
      }
      int prompts = Math.min(CHUNK_TOKENS, slots.stream().mapToInt(call -> call.promptLeft).sum());
      double own = slots.size() * PASS_MILLIS_PER_REQUEST + prompts / PROMPT_TOKENS_PER_MILLI;
      tokenMillis += own;
      most = Math.max(most, own);
    }
    double experts = EXPERT_SHARE * play.skew().applyAsDouble((double) clock) * tokenMillis / ranks;
    double pass = BASE_PASS_MILLIS + (1 - EXPERT_SHARE) * most + experts;
    passEndsAt = clock + Math.round(pass);
  }

  private void endPass() {
    for (List<Call> slots : running) {
      int chunk = CHUNK_TOKENS;
      for (Call call : List.copyOf(slots)) {
        int read = Math.min(chunk, call.promptLeft);
        chunk -= read;
        call.promptLeft -= read;
        if (call.promptLeft == 0 && !call.isOver) {
          piece(call);
        }
      }
      slots.removeIf(call -> call.isOver);
    }
  }

  private void piece(Call call) {
    long pause = call.piecesSent == 0 ? -1 : clock - call.lastPieceAt;
    call.longestPause = Math.max(call.longestPause, pause);
    call.firstPieceAt = call.piecesSent == 0 ? clock : call.firstPieceAt;
    call.lastPieceAt = clock;
    call.piecesSent++;
    entries.get(call.entry).rule.onPiece(call, pause, clock);
    if (call.piecesSent == call.pieces) {
      boolean isInTime =
          call.firstPieceAt + 2 * ONE_WAY - call.firstArrivedAt <= call.kind.objective()
              && call.longestPause <= PAUSE_OBJECTIVE;
      end(call, isInTime ? Result.IN_TIME : Result.LATE);
    }
  }

  /** The rule before: each target takes a fixed number of requests, more with a later objective. */
  static final class FixedNumber implements Rule {
    private static final double SLOT_WAIT_MILLIS = 300;

    @Override
    public void arrive(Entry entry, Call call, long now) {
      double queueMillis = call.kind.patience() / 2.0 - 90;
      double limit = SLOTS + Math.max(1, (int) (queueMillis / SLOT_WAIT_MILLIS));
      OptionalInt rank = entry.choose(limit, now);
      if (rank.isPresent()) {
        entry.send(call, rank.getAsInt(), now);
      } else {
        entry.refuse(call, (long) (SLOT_WAIT_MILLIS * 2), now);
      }
    }
  }
}
