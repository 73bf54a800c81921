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
 * Two agents, the entries' trackers, the claims on the log and the messages between them. Every
 * step is one thing that may happen next; a process that gets no step is paused.
 */
final class RequestWorld {
  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
  private static final Duration PATIENCE = Duration.ofSeconds(10);
  private static final int KEYS = 3;
  private static final int CHUNKS = 3;

  private final RandomGenerator random;
  private final List<Runnable> network = new ArrayList<>();
  private final List<ClaimRecord> log = new ArrayList<>();
  private final List<ClaimRecord> onTheWayToTheLog = new ArrayList<>();
  private final List<AgentNode> agents =
      List.of(new AgentNode("agent-0"), new AgentNode("agent-1"));
  private final List<Submission> submissions = new ArrayList<>();
  private final Map<String, Integer> executions = new HashMap<>();
  private final Set<String> ran = new HashSet<>();
  private final Set<String> saidNotRun = new HashSet<>();
  private final List<String> wrongAnswers = new ArrayList<>();
  private Instant now = START;
  private int wholeAnswers;
  private int heldElsewhere;

  RequestWorld(RandomGenerator random) {
    this.random = random;
  }

  /** What many histories reached, added up. */
  static final class Counts {
    private int ran;
    private int notRun;
    private int whole;
    private int heldElsewhere;

    void add(RequestWorld world) {
      ran += world.ran.size();
      notRun += world.saidNotRun.size();
      whole += world.wholeAnswers;
      heldElsewhere += world.heldElsewhere;
    }

    int ran() {
      return ran;
    }

    int notRun() {
      return notRun;
    }

    int whole() {
      return whole;
    }

    int heldElsewhere() {
      return heldElsewhere;
    }
  }

  void step() {
    switch (random.nextInt(16)) {
      case 0 -> submit();
      case 1, 2, 3, 4 -> take(network).ifPresent(Runnable::run);
      case 5 -> pick(network).ifPresent(Runnable::run);
      case 6 -> take(network);
      case 7, 8 -> take(onTheWayToTheLog).ifPresent(log::add);
      case 9 -> take(onTheWayToTheLog);
      case 10, 11 -> pick(agents).ifPresent(AgentNode::readOne);
      case 12 -> pick(agents).ifPresent(AgentNode::startOrGiveUpOne);
      case 13 -> pick(submissions).ifPresent(Submission::loseLinkOrRevoke);
      case 14 -> pick(submissions).ifPresent(Submission::answer);
      default -> passTimeOrKill();
    }
  }

  /** Lets everything that is still under way happen, in order. */
  void settle() {
    for (int round = 0; round < 2_000; round++) {
      take(network).ifPresent(Runnable::run);
      take(onTheWayToTheLog).ifPresent(log::add);
      agents.forEach(AgentNode::readOne);
      agents.forEach(AgentNode::startOrGiveUpOne);
    }
    submissions.forEach(Submission::answer);
  }

  Map<String, Integer> executions() {
    return executions;
  }

  Set<String> ran() {
    return ran;
  }

  Set<String> saidNotRun() {
    return saidNotRun;
  }

  List<String> wrongAnswers() {
    return wrongAnswers;
  }

  private void submit() {
    Submission submission = new Submission("s" + submissions.size(), random.nextInt(KEYS));
    submissions.add(submission);
    submission.dispatch();
  }

  private void passTimeOrKill() {
    if (random.nextInt(6) == 0) {
      pick(agents).ifPresent(AgentNode::restart);
      return;
    }
    now = now.plusMillis(random.nextInt(2_000));
    agents.forEach(agent -> agent.table.expire(now));
  }

  private <T> Optional<T> pick(List<T> choices) {
    return choices.isEmpty()
        ? Optional.empty()
        : Optional.of(choices.get(random.nextInt(choices.size())));
  }

  private <T> Optional<T> take(List<T> choices) {
    return choices.isEmpty()
        ? Optional.empty()
        : Optional.of(choices.remove(random.nextInt(choices.size())));
  }

  /** One request of a caller at an entry. */
  private final class Submission {
    private final String name;
    private final IdempotencyKey key;
    private final Instant deadline = now.plus(PATIENCE);
    private final RequestTracker tracker = RequestTracker.of(Repeatability.ONCE_BY_CLAIM, deadline);
    private final ByteArrayOutputStream received = new ByteArrayOutputStream();
    private int attempts;
    private String attemptId;
    private AgentNode agent;
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
      agent = pick(agents).orElseThrow();
      incarnation = agent.self.incarnation();
      assembler = AnswerAssembler.forAttempt(attemptId, CHUNKS + 1);
      tracker.dispatched(attemptId, incarnation);
      AgentNode to = agent;
      long addressee = incarnation;
      Call call = new Call(this, attemptId);
      network.add(() -> to.dispatched(addressee, call));
    }

    void loseLinkOrRevoke() {
      if (random.nextBoolean()) {
        AgentNode to = agent;
        String attempt = attemptId;
        long addressee = to.self.incarnation();
        network.add(() -> to.revoke(addressee, this, attempt));
        return;
      }
      tracker.lost(attemptId, ResultCode.TARGET_LOST);
      tryAgain();
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
        saidNotRun.add(name);
      }
      if (code == ResultCode.OK) {
        wholeAnswers++;
        if (!received.toString(UTF_8).equals(answerTo(attemptId))) {
          wrongAnswers.add(name);
        }
      }
    }

    private void ended(String attempt, long from, ResultCode code) {
      tracker.ended(attempt, from, code);
      tryAgain();
    }

    private void tryAgain() {
      if (!answered && attempts < 3 && tracker.mayDispatch(now)) {
        dispatch();
      }
    }
  }

  /** One attempt as its agent sees it. */
  private record Call(Submission submission, String attemptId) {
    ClaimRequest claim() {
      return new ClaimRequest("w", submission.key, 1, attemptId, submission.deadline);
    }
  }

  /** One target's agent. */
  private final class AgentNode {
    private ProcessIncarnation self;
    private AttemptTable table;
    private ClaimLedger ledger;
    private int nextOffset;
    private int endAtStart;
    private final List<Call> waiting = new ArrayList<>();
    private final List<Call> won = new ArrayList<>();

    AgentNode(String name) {
      self = new ProcessIncarnation(name, 0);
      begin();
    }

    void restart() {
      self = new ProcessIncarnation(self.process(), self.incarnation() + 1);
      begin();
    }

    private void begin() {
      table =
          AttemptTable.create(
              new AttemptTableOptions(1, 64, Duration.ofMinutes(1), Duration.ofSeconds(1)));
      ledger = ClaimLedger.create(self, ClaimLedgerOptions.defaults());
      nextOffset = 0;
      endAtStart = log.size();
      waiting.clear();
      won.clear();
    }

    void dispatched(long addressee, Call call) {
      if (addressee != self.incarnation()) {
        return;
      }
      OfferResult offer = table.offer(call.attemptId(), call.submission().deadline, now);
      if (offer == OfferResult.REVOKED) {
        refuse(call, ResultCode.REVOKED);
      } else if (offer == OfferResult.QUEUED) {
        claim(call);
      }
    }

    void revoke(long addressee, Submission submission, String attempt) {
      if (addressee != self.incarnation()) {
        return;
      }
      boolean revoked = table.revoke(attempt, now);
      network.add(() -> submission.revokeAnswered(attempt, addressee, revoked));
    }

    void readOne() {
      if (nextOffset >= log.size()) {
        return;
      }
      ClaimRecord record = log.get(nextOffset);
      nextOffset++;
      ledger.apply(record, now);
      List<Call> decidable =
          waiting.stream()
              .filter(call -> call.claim().claimKey().equals(record.claimKey()))
              .toList();
      waiting.removeAll(decidable);
      decidable.forEach(this::decide);
    }

    void startOrGiveUpOne() {
      if (won.isEmpty() || random.nextInt(4) == 0) {
        take(waiting).ifPresent(this::giveUp);
      }
      take(won).ifPresent(this::start);
    }

    private void claim(Call call) {
      if (nextOffset < endAtStart) {
        withdraw(call, ResultCode.NOT_READY);
      } else if (!decide(call)) {
        waiting.add(call);
        onTheWayToTheLog.add(new ClaimRecord(self, "w", call.submission().key, 1));
      }
    }

    private boolean decide(Call call) {
      Optional<ClaimResult> result = ledger.tryClaim(call.claim(), now);
      if (result.isPresent() && result.get() instanceof ClaimResult.Won) {
        won.add(call);
      } else if (result.isPresent()) {
        heldElsewhere++;
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
      byte[] whole = answerTo(call.attemptId()).getBytes(UTF_8);
      CRC32C checksum = new CRC32C();
      checksum.update(whole);
      AnswerEnd end = AnswerEnd.success(1).withTotals(CHUNKS, (int) checksum.getValue());
      long from = self.incarnation();
      for (int number = 0; number < CHUNKS; number++) {
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

  private static String answerTo(String attemptId) {
    return chunkOf(attemptId, 0) + chunkOf(attemptId, 1) + chunkOf(attemptId, 2);
  }

  private static String chunkOf(String attemptId, int number) {
    return attemptId + "#" + number + ";";
  }
}
