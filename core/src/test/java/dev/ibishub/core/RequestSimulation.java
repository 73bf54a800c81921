package dev.ibishub.core;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.zip.CRC32C;

/**
 * A simulation of two agents, the entries' trackers, the claims on the log and the messages between
 * them. Each step is one event that may happen next; a process without a step is paused.
 */
final class RequestSimulation {
  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);
  private static final int KEY_COUNT = 3;
  private static final int CHUNK_COUNT = 3;

  private final RandomGenerator random;
  private final List<Runnable> network = new ArrayList<>();
  private final List<ClaimRecord> log = new ArrayList<>();
  private final List<ClaimRecord> pendingAppends = new ArrayList<>();
  private final List<SimulatedAgent> agents =
      List.of(new SimulatedAgent("agent-0"), new SimulatedAgent("agent-1"));
  private final List<Submission> submissions = new ArrayList<>();
  private final Map<String, Integer> executions = new HashMap<>();
  private final Set<String> ran = new HashSet<>();
  private final Set<String> reportedNotRun = new HashSet<>();
  private final List<String> corruptAnswers = new ArrayList<>();
  private Instant now = START;
  private int completeAnswers;
  private int claimsHeldElsewhere;

  RequestSimulation(RandomGenerator random) {
    this.random = random;
  }

  /** Totals over many simulated histories. */
  static final class Counts {
    private int ran;
    private int notRun;
    private int completeAnswers;
    private int claimsHeldElsewhere;

    void add(RequestSimulation simulation) {
      ran += simulation.ran.size();
      notRun += simulation.reportedNotRun.size();
      completeAnswers += simulation.completeAnswers;
      claimsHeldElsewhere += simulation.claimsHeldElsewhere;
    }

    int ran() {
      return ran;
    }

    int notRun() {
      return notRun;
    }

    int completeAnswers() {
      return completeAnswers;
    }

    int claimsHeldElsewhere() {
      return claimsHeldElsewhere;
    }
  }

  void step() {
    switch (random.nextInt(16)) {
      case 0 -> submit();
      case 1, 2, 3, 4 -> removeRandom(network).ifPresent(Runnable::run);
      case 5 -> pickRandom(network).ifPresent(Runnable::run);
      case 6 -> removeRandom(network);
      case 7, 8 -> removeRandom(pendingAppends).ifPresent(log::add);
      case 9 -> removeRandom(pendingAppends);
      case 10, 11 -> pickRandom(agents).ifPresent(SimulatedAgent::readOneRecord);
      case 12 -> pickRandom(agents).ifPresent(SimulatedAgent::startOrGiveUpOneCall);
      case 13 -> pickRandom(submissions).ifPresent(Submission::loseConnectionOrRevoke);
      case 14 -> pickRandom(submissions).ifPresent(Submission::answer);
      default -> advanceTimeOrRestartAgent();
    }
  }

  /**
   * Delivers the messages and records in transit in random order and runs the agents, for 2,000
   * rounds, then ends every request.
   */
  void runToCompletion() {
    for (int round = 0; round < 2_000; round++) {
      removeRandom(network).ifPresent(Runnable::run);
      removeRandom(pendingAppends).ifPresent(log::add);
      agents.forEach(SimulatedAgent::readOneRecord);
      agents.forEach(SimulatedAgent::startOrGiveUpOneCall);
    }
    submissions.forEach(Submission::answer);
  }

  Map<String, Integer> executions() {
    return executions;
  }

  Set<String> ran() {
    return ran;
  }

  Set<String> reportedNotRun() {
    return reportedNotRun;
  }

  List<String> corruptAnswers() {
    return corruptAnswers;
  }

  private void submit() {
    Submission submission = new Submission("s" + submissions.size(), random.nextInt(KEY_COUNT));
    submissions.add(submission);
    submission.dispatch();
  }

  private void advanceTimeOrRestartAgent() {
    if (random.nextInt(6) == 0) {
      pickRandom(agents).ifPresent(SimulatedAgent::restart);
      return;
    }
    now = now.plusMillis(random.nextInt(2_000));
    agents.forEach(agent -> agent.table.expire(now));
  }

  private <T> Optional<T> pickRandom(List<T> choices) {
    return choices.isEmpty()
        ? Optional.empty()
        : Optional.of(choices.get(random.nextInt(choices.size())));
  }

  private <T> Optional<T> removeRandom(List<T> choices) {
    return choices.isEmpty()
        ? Optional.empty()
        : Optional.of(choices.remove(random.nextInt(choices.size())));
  }

  /** One request of a caller at an entry. */
  private final class Submission {
    private final String name;
    private final IdempotencyKey key;
    private final Instant deadline = now.plus(REQUEST_TIMEOUT);
    private final RequestTracker tracker = RequestTracker.of(Repeatability.ONCE_BY_CLAIM, deadline);
    private final ByteArrayOutputStream received = new ByteArrayOutputStream();
    private int attempts;
    private String attemptId;
    private SimulatedAgent agent;
    private long incarnation;
    private AnswerAssembler assembler;
    private boolean answered;

    Submission(String name, int key) {
      this.name = name;
      this.key = IdempotencyKey.parse(START + "/" + key);
    }

    void dispatch() {
      attempts++;
      attemptId = name + "." + attempts;
      agent = pickRandom(agents).orElseThrow();
      incarnation = agent.self.incarnation();
      assembler = AnswerAssembler.forAttempt(attemptId, CHUNK_COUNT + 1);
      tracker.dispatched(attemptId, incarnation);
      SimulatedAgent to = agent;
      long addresseeIncarnation = incarnation;
      Call call = new Call(this, attemptId);
      network.add(() -> to.dispatched(addresseeIncarnation, call));
    }

    void loseConnectionOrRevoke() {
      if (random.nextBoolean()) {
        SimulatedAgent to = agent;
        String attempt = attemptId;
        long addresseeIncarnation = to.self.incarnation();
        network.add(() -> to.revoke(addresseeIncarnation, this, attempt));
        return;
      }
      tracker.lost(attemptId, ResultCode.TARGET_LOST);
      dispatchAgainIfAllowed();
    }

    void revokeAnswered(String attempt, long from, boolean revoked) {
      tracker.revokeAnswered(attempt, from, revoked, now);
    }

    void chunk(String attempt, int number, byte[] data) {
      if (!attempt.equals(attemptId)) {
        return;
      }
      assembler.accept(attempt, number, data).forEach(received::writeBytes);
      if (received.size() > 0) {
        tracker.delivered();
      }
      assembler.result().ifPresent(code -> ended(attempt, incarnation, code));
    }

    void end(String attempt, long from, AnswerEnd end) {
      if (attempt.equals(attemptId)) {
        assembler.end(attempt, end).ifPresent(code -> ended(attempt, from, code));
      } else if (end.code() != ResultCode.OK) {
        tracker.ended(attempt, from, end.code());
      }
    }

    void answer() {
      if (answered || (random.nextInt(3) > 0 && now.isBefore(deadline))) {
        return;
      }
      answered = true;
      ResultCode code = tracker.giveUp(ResultCode.REVOKED, ResultCode.DEADLINE_PASSED_RUNNING);
      if (code.outcome() == Outcome.NOT_RUN) {
        reportedNotRun.add(name);
      }
      if (code == ResultCode.OK) {
        completeAnswers++;
        if (!received.toString(UTF_8).equals(expectedAnswer(attemptId))) {
          corruptAnswers.add(name);
        }
      }
    }

    private void ended(String attempt, long from, ResultCode code) {
      tracker.ended(attempt, from, code);
      dispatchAgainIfAllowed();
    }

    private void dispatchAgainIfAllowed() {
      if (!answered && attempts < 3 && tracker.mayDispatch(now)) {
        dispatch();
      }
    }
  }

  /** One attempt as seen by its agent. */
  private record Call(Submission submission, String attemptId) {
    ClaimRequest claim() {
      return new ClaimRequest("w", submission.key, 1, attemptId, submission.deadline);
    }
  }

  /** The agent of one target. */
  private final class SimulatedAgent {
    private ProcessIncarnation self;
    private AttemptTable table;
    private ClaimLedger ledger;
    private int nextOffset;
    private int logSizeAtStart;
    private final List<Call> waiting = new ArrayList<>();
    private final List<Call> won = new ArrayList<>();

    SimulatedAgent(String name) {
      self = new ProcessIncarnation(name, 0);
      reset();
    }

    void restart() {
      self = new ProcessIncarnation(self.process(), self.incarnation() + 1);
      reset();
    }

    private void reset() {
      table =
          AttemptTable.create(
              new AttemptTableOptions(1, 64, Duration.ofMinutes(1), Duration.ofSeconds(1)));
      ledger = ClaimLedger.create(self, ClaimLedgerOptions.defaults());
      nextOffset = 0;
      logSizeAtStart = log.size();
      waiting.clear();
      won.clear();
    }

    void dispatched(long addresseeIncarnation, Call call) {
      if (addresseeIncarnation != self.incarnation()) {
        return;
      }
      OfferResult offer = table.offer(call.attemptId(), call.submission().deadline, now);
      if (offer == OfferResult.REVOKED) {
        refuse(call, ResultCode.REVOKED);
      } else if (offer == OfferResult.QUEUED) {
        claim(call);
      }
    }

    void revoke(long addresseeIncarnation, Submission submission, String attempt) {
      if (addresseeIncarnation != self.incarnation()) {
        return;
      }
      boolean revoked = table.revoke(attempt, now);
      network.add(() -> submission.revokeAnswered(attempt, addresseeIncarnation, revoked));
    }

    void readOneRecord() {
      if (nextOffset >= log.size()) {
        return;
      }
      ClaimRecord record = log.get(nextOffset);
      nextOffset++;
      ledger.apply(record, now);
      List<Call> affected =
          waiting.stream()
              .filter(call -> call.claim().claimKey().equals(record.claimKey()))
              .toList();
      waiting.removeAll(affected);
      affected.forEach(this::decide);
    }

    void startOrGiveUpOneCall() {
      if (won.isEmpty() || random.nextInt(4) == 0) {
        removeRandom(waiting).ifPresent(this::giveUp);
      }
      removeRandom(won).ifPresent(this::start);
    }

    private void claim(Call call) {
      if (nextOffset < logSizeAtStart) {
        withdraw(call, ResultCode.NOT_READY);
      } else if (!decide(call)) {
        waiting.add(call);
        pendingAppends.add(new ClaimRecord(self, "w", call.submission().key, 1));
      }
    }

    private boolean decide(Call call) {
      Optional<ClaimResult> result = ledger.tryClaim(call.claim(), now);
      if (result.isPresent() && result.get() instanceof ClaimResult.Won) {
        won.add(call);
      } else if (result.isPresent()) {
        claimsHeldElsewhere++;
        table.revoke(call.attemptId(), now);
        refuse(call, ResultCode.ALREADY_RUNNING);
      }
      return result.isPresent();
    }

    private void giveUp(Call call) {
      withdraw(call, ResultCode.LOG_UNAVAILABLE);
    }

    private void start(Call call) {
      if (!table.tryStart(call.attemptId(), now)) {
        ledger.notStarted(call.claim().claimKey(), call.attemptId());
        return;
      }
      executions.merge(call.submission().key.text(), 1, Integer::sum);
      ran.add(call.submission().name);
      sendAnswer(call);
      table.finished(call.attemptId(), now);
      ledger.finished(call.claim().claimKey(), call.attemptId());
    }

    private void sendAnswer(Call call) {
      byte[] wholeAnswer = expectedAnswer(call.attemptId()).getBytes(UTF_8);
      CRC32C checksum = new CRC32C();
      checksum.update(wholeAnswer);
      AnswerEnd end = AnswerEnd.success(1).withTotals(CHUNK_COUNT, (int) checksum.getValue());
      long from = self.incarnation();
      for (int number = 0; number < CHUNK_COUNT; number++) {
        int chunk = number;
        byte[] data = chunkOf(call.attemptId(), chunk).getBytes(UTF_8);
        network.add(() -> call.submission().chunk(call.attemptId(), chunk, data));
      }
      network.add(() -> call.submission().end(call.attemptId(), from, end));
    }

    private void withdraw(Call call, ResultCode code) {
      if (table.revoke(call.attemptId(), now)) {
        refuse(call, code);
      }
    }

    private void refuse(Call call, ResultCode code) {
      long from = self.incarnation();
      AnswerEnd end = AnswerEnd.failure(new ResultException(code, "refused"));
      network.add(() -> call.submission().end(call.attemptId(), from, end));
    }
  }

  private static String expectedAnswer(String attemptId) {
    return chunkOf(attemptId, 0) + chunkOf(attemptId, 1) + chunkOf(attemptId, 2);
  }

  private static String chunkOf(String attemptId, int number) {
    return attemptId + "#" + number + ";";
  }
}
