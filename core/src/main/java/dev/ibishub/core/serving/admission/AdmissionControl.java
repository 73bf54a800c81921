package dev.ibishub.core.serving.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.DoubleSupplier;

/**
 * The admission of one service's requests at one entry: who is sent, who waits and in which order,
 * who is refused. Not thread-safe.
 *
 * @param <T> identifies a request
 */
public final class AdmissionControl<T> {
  /**
   * Most requests that wait at an entry for one service. At some ten requests a second, more than
   * these are never in time.
   */
  public static final int MAXIMUM_WAITING = 64;

  /** Credit that requests need that are more urgent than others; they may owe it. */
  private static final double URGENT_CREDIT = 0;

  /** Credit that requests need while all are equally urgent. */
  private static final double USUAL_CREDIT = 1;

  /**
   * Credit that the least urgent requests need, so that one start is left for a more urgent one.
   */
  private static final double LEAST_URGENT_CREDIT = StartCredit.MAXIMUM;

  /**
   * Time for which arrivals of more urgent requests are left room for, in ages of the reports: one
   * until their sends are reported, and one more until entries that react to these reports have an
   * effect.
   */
  private static final double RESERVE_AGES = 2;

  /**
   * Time for which free capacity has to last so that requests are sent without credit, in ages of
   * the reports: until what is sent now is reported, and as long again.
   */
  private static final double AMPLE_AGES = 2;

  private AdmissionPolicy policy;
  private final CapacityEstimate capacity;
  private final WorkspaceShares shares;
  private final StartCredit credit = new StartCredit();
  private final AdmissionQueue<T> queue = new AdmissionQueue<>(MAXIMUM_WAITING);
  private final Map<Integer, EventRate> arrivals = new TreeMap<>();

  /**
   * A waiting request whose wait is over.
   *
   * @param decision {@link Decision.Send} or {@link Decision.Refuse}
   */
  public record Due<T>(AdmissionQueue.Waiting<T> waiting, Decision decision) {}

  /**
   * What becomes of a request that arrives.
   *
   * @param decision the decision about the request itself
   * @param situation the facts that it depended on
   * @param displaced a request that had been waiting and is refused in its favour
   */
  public record Offered<T>(
      Decision decision, AdmissionPolicy.Situation situation, Optional<Due<T>> displaced) {}

  /** Creates the admission of a service that has no requests yet. */
  public AdmissionControl(
      AdmissionPolicy policy, CapacityEstimate capacity, WorkspaceShares shares) {
    this.policy = policy;
    this.capacity = capacity;
    this.shares = shares;
  }

  /** Replaces the policy; it applies to requests that wait, too. */
  public void changePolicy(AdmissionPolicy newPolicy) {
    policy = newPolicy;
  }

  public CapacityEstimate capacity() {
    return capacity;
  }

  public int waiting() {
    return queue.size();
  }

  /**
   * Decides about a request that arrives. If it is sent, {@link #onStart} is to follow.
   *
   * @param load load of the service's targets
   * @param random uniformly distributed random numbers from 0 to below 1
   */
  public Offered<T> offer(
      T item, AdmissionRequest request, ServiceLoad load, long now, DoubleSupplier random) {
    arrivals.computeIfAbsent(request.priority(), key -> new EventRate()).onEvent(now);
    AdmissionQueue.Waiting<T> entrant =
        new AdmissionQueue.Waiting<>(item, request, shares.usage(request.workspace(), now), now, 0);
    AdmissionPolicy.Situation situation = situation(request, queue.ahead(entrant), load, now);
    Decision decision = policy.decide(request, situation, now, random.getAsDouble());
    if (!(decision instanceof Decision.Wait wait)) {
      return new Offered<>(decision, situation, Optional.empty());
    }
    Optional<AdmissionQueue.Waiting<T>> last =
        queue.add(
            new AdmissionQueue.Waiting<>(
                item, request, entrant.usage(), now, wait.predictedMillis()));
    boolean isFull = last.map(each -> each.item().equals(item)).orElse(false);
    return isFull
        ? new Offered<>(
            policy.refusal(request, Decision.Reason.QUEUE_FULL, now, random.getAsDouble()),
            situation,
            Optional.empty())
        : new Offered<>(
            decision,
            situation,
            last.map(each -> refused(each, Decision.Reason.DISPLACED, now, random)));
  }

  /** Counts a request that is sent to a target, whether it waited or not. */
  public void onStart(AdmissionRequest request, long now) {
    credit.onStart(now);
    shares.onAdmitted(request.workspace(), request.tokens(), now);
  }

  /** Counts a request that is sent once more, or without a decision. */
  public void onFurtherStart(long now) {
    credit.onStart(now);
  }

  /** Removes a request that waits, whose caller has left or whose deadline has passed. */
  public boolean remove(T item) {
    return queue.remove(item);
  }

  /**
   * Takes out the waiting requests whose wait is over: those that can't be in time any more, and
   * those that may be sent. The latter count as started.
   *
   * @param load load of the service's targets
   */
  public List<Due<T>> takeDue(ServiceLoad load, long now, DoubleSupplier random) {
    List<Due<T>> due = new ArrayList<>();
    boolean isStalled = capacity.isStalled(load, now);
    double passMillis = capacity.passMillis(now);
    for (AdmissionQueue.Waiting<T> each : queue.all()) {
      if (isStalled
          && !policy.mayWaitForProgress(each.request(), isLeastUrgent(each.request().priority()))) {
        due.add(refused(each, Decision.Reason.STALLED, now, random));
      } else if (now > policy.latestStart(each.request(), passMillis)) {
        due.add(refused(each, Decision.Reason.OVERDUE, now, random));
      }
    }
    due.forEach(each -> queue.remove(each.waiting().item()));
    while (!isStalled && !queue.isEmpty()) {
      AdmissionQueue.Waiting<T> first = queue.first().orElseThrow();
      if (!situation(first.request(), 0, load, now).maySend()) {
        break;
      }
      queue.remove(first.item());
      onStart(first.request(), now);
      due.add(new Due<>(first, new Decision.Send()));
    }
    return due;
  }

  /** Takes out all waiting requests, which are refused as the entry stops. */
  public List<Due<T>> stop(long now, DoubleSupplier random) {
    List<Due<T>> all =
        queue.all().stream()
            .map(each -> refused(each, Decision.Reason.STOPPING, now, random))
            .toList();
    all.forEach(each -> queue.remove(each.waiting().item()));
    return all;
  }

  private Due<T> refused(
      AdmissionQueue.Waiting<T> waiting, Decision.Reason reason, long now, DoubleSupplier random) {
    return new Due<>(waiting, policy.refusal(waiting.request(), reason, now, random.getAsDouble()));
  }

  private AdmissionPolicy.Situation situation(
      AdmissionRequest request, int ahead, ServiceLoad load, long now) {
    StartCredit.Outlook outlook = outlook(load, now);
    double urgentPerSecond = arrivalsPerSecond(request.priority(), now);
    double age = Math.max(0, now - load.measuredAt());
    double urgentArrivals = RESERVE_AGES * urgentPerSecond * load.entries() * age / 1_000;
    StartCredit.Outlook own =
        outlook.withReserve(urgentArrivals + slotReserve(request, outlook, load, now));
    StartCredit.RequestClass requestClass =
        new StartCredit.RequestClass(request.priority(), request.isReturning());
    credit.accrue(requestClass, own, now);
    boolean isAmple = queue.isEmpty() && outlook.isAmple(AMPLE_AGES * age);
    return new AdmissionPolicy.Situation(
        capacity.isStalled(load, now),
        capacity.passMillis(now),
        load.targets() == 0 || isAmple ? LEAST_URGENT_CREDIT : credit.amount(requestClass),
        neededCredit(request.priority()),
        Math.max(own.startsPerSecond(), own.endsPerSecond() / own.entries()),
        urgentPerSecond,
        ahead,
        isLeastUrgent(request.priority()));
  }

  /**
   * Returns the capacity that callers of the least urgent class leave unused if they return after a
   * refusal. They are late in any case, and their targets' last free slots would be missing for
   * more urgent requests, which would then wait for a slot for longer than their latency objective.
   */
  private double slotReserve(
      AdmissionRequest request, StartCredit.Outlook outlook, ServiceLoad load, long now) {
    boolean leavesSlots =
        request.isReturning()
            && isLeastUrgent(request.priority())
            && !isMostUrgent(request.priority());
    if (!leavesSlots || load.targets() == 0) {
      return 0;
    }
    double age = Math.max(0, now - load.measuredAt()) / 1_000.0;
    double unreported = outlook.endsPerSecond() * age / load.targets();
    double unused =
        capacity.requestsPerTarget(now) - capacity.requestsPerTargetWithFreeSlot(unreported, now);
    return load.targets() * unused;
  }

  private boolean isMostUrgent(int priority) {
    return arrivals.keySet().stream().allMatch(each -> each >= priority);
  }

  private boolean isLeastUrgent(int priority) {
    return arrivals.keySet().stream().allMatch(each -> each <= priority);
  }

  private double neededCredit(int priority) {
    if (!isLeastUrgent(priority)) {
      return URGENT_CREDIT;
    }
    return isMostUrgent(priority) ? USUAL_CREDIT : LEAST_URGENT_CREDIT;
  }

  private StartCredit.Outlook outlook(ServiceLoad load, long now) {
    double endsPerSecond = capacity.endsPerSecond(load.running(), now);
    double age = Math.max(0, now - load.measuredAt()) / 1_000.0;
    double requests =
        Math.max(0, load.requests() - endsPerSecond * age)
            + credit.unreportedStarts(load.measuredAt(), load.entries(), now);
    return new StartCredit.Outlook(
        requests, load.targets() * capacity.requestsPerTarget(now), endsPerSecond, load.entries());
  }

  /** Returns the rate at which requests more urgent than the given priority arrive. */
  private double arrivalsPerSecond(int priority, long now) {
    return arrivals.entrySet().stream()
        .filter(each -> each.getKey() < priority)
        .mapToDouble(each -> each.getValue().perSecond(now))
        .sum();
  }
}
