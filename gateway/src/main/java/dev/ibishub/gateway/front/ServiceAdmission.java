package dev.ibishub.gateway.front;

import dev.ibishub.core.ResultCode;
import dev.ibishub.core.serving.SendRate;
import dev.ibishub.core.serving.TargetChoice;
import dev.ibishub.core.serving.TargetSpread;
import dev.ibishub.core.serving.admission.AdmissionControl;
import dev.ibishub.core.serving.admission.AdmissionPolicy;
import dev.ibishub.core.serving.admission.AdmissionQueue;
import dev.ibishub.core.serving.admission.AdmissionRequest;
import dev.ibishub.core.serving.admission.CapacityEstimate;
import dev.ibishub.core.serving.admission.Decision;
import dev.ibishub.core.serving.admission.EngineTiming;
import dev.ibishub.core.serving.admission.ServiceLoad;
import dev.ibishub.core.serving.admission.UsualWait;
import dev.ibishub.core.serving.admission.WorkspaceShares;
import dev.ibishub.gateway.model.Route;
import dev.ibishub.gateway.model.ServingConfiguration;
import dev.ibishub.gateway.model.Workspace;
import dev.ibishub.runtime.IndependentSteps;
import dev.ibishub.runtime.MonotonicClock;
import io.netty.channel.EventLoop;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

/**
 * Admission of requests for services with model engines: whether and when a request is sent. Where
 * it is sent is not decided here. Thread-safe by one lock for each service.
 */
public final class ServiceAdmission {
  /** Interval between checks whether waiting requests may be sent, milliseconds. */
  private static final long CHECK_MILLIS = 20;

  /**
   * Value of {@code Retry-After} while this entry stops, milliseconds; other entries may serve the
   * request at once.
   */
  private static final long STOPPING_RETRY_MILLIS = 10;

  /** Shortest time after which callers leave a stream without a piece, milliseconds. */
  private static final long MINIMUM_PATIENCE_MILLIS = 2_000;

  /** Multiple of the latency objective for which callers wait, if that is longer. */
  private static final long OBJECTIVES_WAITED = 4;

  /** Multiple of the pause objective for which callers wait, if that is longer. */
  private static final long PAUSES_WAITED = 8;

  private final Supplier<Optional<ServingConfiguration>> configuration;
  private final TargetDirectory targets;
  private final IntSupplier entries;
  private final StopPlan stop;
  private final WorkspaceShares shares;
  private final AdmissionMetrics metrics;
  private final Map<String, ServiceState> states = new ConcurrentHashMap<>();
  private final Map<String, UsualWait> usualWaits = new ConcurrentHashMap<>();
  private volatile AdmissionMode mode;
  private volatile Optional<AdmissionScope> scope = Optional.empty();

  /**
   * Creates admission without waiting requests.
   *
   * @param configuration the configuration in force, empty while none is known
   * @param entries how many entries share the targets, 1 or more
   * @param stop whether this process stops
   * @param shares how much of the contested capacity each workspace has used
   */
  public ServiceAdmission(
      AdmissionMode mode,
      Supplier<Optional<ServingConfiguration>> configuration,
      TargetDirectory targets,
      IntSupplier entries,
      StopPlan stop,
      WorkspaceShares shares,
      PrometheusRegistry registry) {
    this.mode = mode;
    this.configuration = configuration;
    this.targets = targets;
    this.entries = entries;
    this.stop = stop;
    this.shares = shares;
    this.metrics = new AdmissionMetrics(registry);
  }

  /** Changes the mode; requests that wait keep their place. */
  public void change(AdmissionMode newMode) {
    mode = newMode;
    scope = Optional.empty();
    states.values().forEach(state -> state.changePolicy(newMode.policy()));
  }

  /** Whether requests for a service are subject to admission. */
  boolean appliesTo(String service) {
    return timing(service).isPresent();
  }

  private Optional<EngineTiming> timing(String service) {
    Optional<ServingConfiguration> current = configuration.get();
    if (current.isEmpty()) {
      return Optional.empty();
    }
    Optional<AdmissionScope> known = scope;
    if (known.isEmpty() || known.get().version() != current.get().version()) {
      known = Optional.of(AdmissionScope.of(current.get(), mode));
      scope = known;
    }
    return known.get().timing(service);
  }

  private Optional<ServiceState> state(String service) {
    return timing(service)
        .map(
            timing -> {
              ServiceState state =
                  states.computeIfAbsent(service, name -> new ServiceState(name, timing));
              state.changeTiming(timing);
              return state;
            });
  }

  /** Returns what admission needs to know of a request. */
  AdmissionRequest request(Routing.Routed routed, CallerRequest caller, long arrivedAt) {
    Route route = routed.route();
    boolean isStream = route.kind().isStream();
    long patienceMillis =
        Math.max(
            MINIMUM_PATIENCE_MILLIS,
            Math.max(
                OBJECTIVES_WAITED * route.latencyObjectiveMillis(),
                PAUSES_WAITED * route.pauseObjectiveMillis()));
    boolean isReturning =
        caller.waitMillis().isPresent()
            && usualWaits
                .computeIfAbsent(route.name(), key -> new UsualWait())
                .isReturning(routed.deadline() - arrivedAt);
    return new AdmissionRequest(
        routed.priority().orElse(0),
        routed.workspace().map(Workspace::name).orElse(""),
        arrivedAt,
        routed.deadline(),
        isStream ? route.latencyObjectiveMillis() : 0,
        isStream ? patienceMillis : routed.deadline() - arrivedAt,
        isReturning,
        routed.engine().map(each -> each.meanPromptTokens() + each.meanAnswerTokens()).orElse(0));
  }

  /**
   * Decides about a request. The ticket is admitted or refused at once or later, unless it is
   * withdrawn.
   */
  void request(AdmissionTicket ticket) {
    state(ticket.service()).ifPresentOrElse(state -> state.request(ticket), ticket::admit);
  }

  /** Removes a request that waits, whose caller has left or whose deadline has passed. */
  void withdraw(AdmissionTicket ticket) {
    Optional.ofNullable(states.get(ticket.service())).ifPresent(state -> state.withdraw(ticket));
  }

  /** Returns how many requests wait for a service. */
  int waiting(String service) {
    return Optional.ofNullable(states.get(service)).map(ServiceState::waiting).orElse(0);
  }

  /**
   * Returns the rule by which requests for a service choose a target; empty for a service not
   * subject to admission.
   *
   * @param maximumRequests number of requests from which a target counts as full
   */
  Optional<TargetChoice> choice(String service, double maximumRequests, long now) {
    return state(service).map(state -> state.choice(maximumRequests, now));
  }

  /** Counts an attempt that is sent without admission: a retry or a stream that is resumed. */
  void onFurtherSend(String service, long now) {
    state(service).ifPresent(state -> state.onFurtherSend(now));
  }

  /** Counts any attempt that is sent, with or without admission. */
  void onSent(String service, long now) {
    state(service).ifPresent(state -> state.onSent(now));
  }

  /**
   * Records the first piece of a stream.
   *
   * @return whether the stream is counted, so that {@link #onEnded} is to follow
   */
  boolean onFirstPiece(String service, long now) {
    Optional<ServiceState> state = state(service);
    state.ifPresent(each -> each.onFirstPiece(now));
    return state.isPresent();
  }

  /**
   * Records a further piece of a stream.
   *
   * @param pauseMillis time since the stream's previous piece, milliseconds
   */
  void onPause(String service, long pauseMillis, long now) {
    Optional.ofNullable(states.get(service)).ifPresent(state -> state.onPause(pauseMillis, now));
  }

  /** Records the end of a stream that had begun. */
  void onEnded(String service) {
    Optional.ofNullable(states.get(service)).ifPresent(ServiceState::onEnded);
  }

  /** The admission of one service. */
  private final class ServiceState {
    private final String service;
    private final CapacityEstimate capacity;
    private final AdmissionControl<AdmissionTicket> control;
    private final SendRate sendRate = new SendRate();
    private EngineTiming timing;
    private ServiceLoad load = ServiceLoad.NONE;
    private long loadAt = Long.MIN_VALUE / 2;
    private boolean isCheckScheduled;

    ServiceState(String service, EngineTiming timing) {
      this.service = service;
      this.timing = timing;
      capacity = new CapacityEstimate(timing);
      control = new AdmissionControl<>(mode.policy(), capacity, shares);
    }

    synchronized void changePolicy(AdmissionPolicy newPolicy) {
      control.changePolicy(newPolicy);
    }

    synchronized void changeTiming(EngineTiming newTiming) {
      if (!timing.equals(newTiming)) {
        timing = newTiming;
        capacity.changeTiming(newTiming);
      }
    }

    void request(AdmissionTicket ticket) {
      IndependentSteps.run("admission", decide(ticket, MonotonicClock.millis()));
    }

    /** Decides about a request; what follows from it is to run without the lock. */
    private synchronized List<Runnable> decide(AdmissionTicket ticket, long now) {
      ServiceLoad current = load(now);
      AdmissionControl.Offered<AdmissionTicket> offered =
          control.offer(ticket, ticket.request(), current, now, ServiceAdmission::random);
      AdmissionLog.onDecision(
          ticket,
          offered.decision(),
          offered.situation(),
          current,
          capacity.requestsPerTarget(now));
      metrics.onDecision(service, name(offered.decision()));
      List<Runnable> actions = new ArrayList<>();
      if (offered.decision() instanceof Decision.Send) {
        control.onStart(ticket.request(), now);
        actions.add(ticket::admit);
      } else if (offered.decision() instanceof Decision.Refuse refusal) {
        actions.add(() -> refuse(ticket, refusal));
      } else {
        scheduleCheck(ticket.loop());
      }
      offered.displaced().map(due -> endWait(due, now)).ifPresent(actions::add);
      updateMetrics(now);
      return actions;
    }

    private void scheduleCheck(EventLoop loop) {
      if (!isCheckScheduled) {
        isCheckScheduled = true;
        loop.schedule(() -> check(loop), CHECK_MILLIS, TimeUnit.MILLISECONDS);
      }
    }

    private void check(EventLoop loop) {
      IndependentSteps.run("admission", takeDue(loop, MonotonicClock.millis()));
    }

    private synchronized List<Runnable> takeDue(EventLoop loop, long now) {
      isCheckScheduled = false;
      List<AdmissionControl.Due<AdmissionTicket>> due =
          stop.isLeaving()
              ? control.stop(now, ServiceAdmission::random)
              : control.takeDue(load(now), now, ServiceAdmission::random);
      if (control.waiting() > 0) {
        scheduleCheck(loop);
      }
      updateMetrics(now);
      return due.stream().map(each -> endWait(each, now)).toList();
    }

    private Runnable endWait(AdmissionControl.Due<AdmissionTicket> due, long now) {
      AdmissionQueue.Waiting<AdmissionTicket> waited = due.waiting();
      long waitedMillis = now - waited.since();
      metrics.onWaitEnded(service, name(due.decision()));
      if (due.decision() instanceof Decision.Refuse refusal) {
        AdmissionLog.onWaitRefused(waited.item(), refusal, waited.predictedMillis(), waitedMillis);
        return () -> refuse(waited.item(), refusal);
      }
      metrics.onWaited(service, waited.predictedMillis(), waitedMillis);
      return waited.item()::admit;
    }

    TargetChoice choice(double maximumRequests, long now) {
      int entryCount = entries.getAsInt();
      return new TargetChoice(
          entryCount,
          maximumRequests,
          sendRate.perMilli(now) * (entryCount - 1),
          TargetSpread.levelling(random()));
    }

    void onSent(long now) {
      sendRate.onSent(now);
    }

    synchronized void withdraw(AdmissionTicket ticket) {
      if (control.remove(ticket)) {
        metrics.onWaitEnded(service, "withdrawn");
      }
    }

    synchronized int waiting() {
      return control.waiting();
    }

    synchronized void onFurtherSend(long now) {
      control.onFurtherStart(now);
    }

    synchronized void onFirstPiece(long now) {
      capacity.onFirstPiece(now);
    }

    synchronized void onPause(long pauseMillis, long now) {
      capacity.onPause((double) pauseMillis, load(now), now);
    }

    synchronized void onEnded() {
      capacity.onBegunStreamEnded();
    }

    private void updateMetrics(long now) {
      metrics.onState(
          service, control.waiting(), capacity.requestsPerTarget(now), capacity.passMillis(now));
    }

    /** Returns the load of the service's targets, at most {@link #CHECK_MILLIS} old. */
    private ServiceLoad load(long now) {
      if (now - loadAt >= CHECK_MILLIS) {
        int entryCount = entries.getAsInt();
        ServiceLoad.Sum sum = new ServiceLoad.Sum(timing.slots());
        targets.usable(service).forEach(each -> each.load().addTo(sum, now, entryCount));
        load = sum.total(now, entryCount);
        loadAt = now;
      }
      return load;
    }
  }

  private static double random() {
    return ThreadLocalRandom.current().nextDouble();
  }

  private static String name(Decision decision) {
    if (decision instanceof Decision.Refuse refusal) {
      return refusal.reason().name().toLowerCase(Locale.ROOT);
    }
    return decision instanceof Decision.Send ? "sent" : "waits";
  }

  private static void refuse(AdmissionTicket ticket, Decision.Refuse refusal) {
    String cause = "admission: " + refusal.reason().name().toLowerCase(Locale.ROOT);
    if (refusal.reason() == Decision.Reason.STOPPING) {
      ticket.refuse(ResultCode.ENTRY_LEAVING, STOPPING_RETRY_MILLIS, cause);
    } else {
      ticket.refuse(ResultCode.OVERLOADED, refusal.retryAfterMillis(), cause);
    }
  }
}
