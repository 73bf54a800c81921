package dev.ibishub.gateway.front;

import com.google.common.flogger.FluentLogger;
import dev.ibishub.core.serving.crashes.CrashFindings;
import dev.ibishub.core.serving.crashes.CrashFindings.Clearing;
import dev.ibishub.core.serving.crashes.CrashedRun;
import dev.ibishub.core.serving.crashes.Quarantine;
import dev.ibishub.core.serving.crashes.RequestIdentity;
import dev.ibishub.core.serving.crashes.RequestQuarantine;
import dev.ibishub.core.serving.crashes.RequestTrait;
import dev.ibishub.core.serving.crashes.RequestTraits;
import dev.ibishub.core.serving.crashes.SendPermission;
import dev.ibishub.gateway.front.CrashMetrics.Cause;
import dev.ibishub.gateway.membership.PeerMesh;
import dev.ibishub.runtime.IndependentSteps;
import dev.ibishub.runtime.LogEvent;
import dev.ibishub.runtime.LogLimit;
import dev.ibishub.runtime.MonotonicClock;
import dev.ibishub.runtime.TaskQueue;
import dev.ibishub.wire.generated.CrashDigest;
import dev.ibishub.wire.generated.CrashReport;
import dev.ibishub.wire.generated.Frame;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * Detector of requests that crash targets, which shares what it finds with the other entries.
 * Thread-safe.
 *
 * <p>A broken connection does not show whether the target crashed or only lost a response, so the
 * target is connected to once more: if the connection is refused, the process at that port has
 * ended. A crash after which the target's host does not respond at all is detected later, when the
 * target announces itself after a restart.
 */
public final class CrashDetector {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Connect timeout, milliseconds; connecting usually takes 1 to 5. */
  private static final int CONNECT_TIMEOUT_MILLIS = 100;

  /**
   * How long after its start an entry holds back requests with prompt parts until another entry has
   * told it which of them crash targets, milliseconds.
   */
  private static final long FINDINGS_WAIT_MILLIS = 800;

  /**
   * How often entries tell on a report. From an entry that is no relay to all others takes two
   * times; reports are dated anew by each, so that a late one may seem new where it is not.
   */
  private static final int MAXIMUM_HOPS = 3;

  /** Most traits of runs and of other findings in a message, so that none holds a loop long. */
  private static final int MAXIMUM_TRAITS = 256;

  /** Most log lines a second on findings, and as many on quarantines. */
  private static final int MAXIMUM_LINES_PER_SECOND = 20;

  /** Number of reports of which copies are recognized; many more than come within a second. */
  private static final int RECENT_REPORTS = 4_096;

  private static final long NO_ID = 0;

  /** Bytes of work that holds no message while it waits. */
  private static final long NO_BYTES = 0;

  /** Least time between two checks of a silent target, milliseconds. */
  private static final long SILENT_CHECK_MILLIS = 2_000;

  /** Interval between removals of old evidence, milliseconds. */
  private static final long EXPIRY_INTERVAL_MILLIS = 10_000;

  private final Map<InetSocketAddress, Long> silentChecks = new ConcurrentHashMap<>();
  private final RequestQuarantine quarantine = new RequestQuarantine();
  private final Consumer<Frame> broadcast;
  private final BooleanSupplier leads;
  private final TaskQueue intake;
  private final CrashMetrics metrics;
  private final RecentIds recentIds = new RecentIds(RECENT_REPORTS);
  private final LogLimit findingLines = new LogLimit(MAXIMUM_LINES_PER_SECOND);
  private final LogLimit quarantineLines = new LogLimit(MAXIMUM_LINES_PER_SECOND);
  private final AtomicBoolean isDigestDue = new AtomicBoolean();
  private volatile long findingsDueAt = Long.MIN_VALUE;
  private volatile long expiryDueAt;

  /**
   * Creates a detector without suspicions, for an entry that makes trials.
   *
   * @param broadcast sends a message to all linked entries
   */
  public CrashDetector(Consumer<Frame> broadcast) {
    this(broadcast, () -> true, TaskQueue.IMMEDIATE, new PrometheusRegistry());
  }

  /**
   * Creates a detector without suspicions.
   *
   * @param broadcast sends a message to all linked entries
   * @param leads whether this entry, of all entries, makes the trials whether a quarantine is still
   *     needed
   * @param intake runs what other entries' messages take
   * @param registry where the metrics are registered
   */
  public CrashDetector(
      Consumer<Frame> broadcast,
      BooleanSupplier leads,
      TaskQueue intake,
      PrometheusRegistry registry) {
    this.broadcast = broadcast;
    this.leads = leads;
    this.intake = intake;
    this.metrics = new CrashMetrics(registry);
  }

  /**
   * Makes this entry wait for another one's findings, as there were entries before it started.
   *
   * @param startedAt when it started, on the monotonic clock, milliseconds
   */
  public void awaitFindings(long startedAt) {
    findingsDueAt = startedAt + FINDINGS_WAIT_MILLIS;
  }

  /** Whether another entry may know of quarantines that this one does not know yet. */
  boolean isAwaitingFindings(long now) {
    return now < findingsDueAt;
  }

  /** Judges the evidence so far, and forgets what is old. To be called often. */
  public void tick(long now) {
    logOmitted("findings", findingLines, now);
    logOmitted("quarantines", quarantineLines, now);
    if (!quarantine.isWatching()) {
      return;
    }
    publish(quarantine.decide(now));
    if (now >= expiryDueAt) {
      expiryDueAt = now + EXPIRY_INTERVAL_MILLIS;
      quarantine.expire(now);
    }
  }

  /** Whether any request may be held back. */
  boolean isWatching() {
    return quarantine.isWatching();
  }

  /** Returns whether a request may be sent for the first time. */
  SendPermission permission(RequestTraits request, long now) {
    publish(quarantine.decide(now));
    return quarantine.permission(request, leads.getAsBoolean(), now);
  }

  /** Whether a request may be sent once more. */
  boolean mayRepeat(RequestTraits request) {
    publish(quarantine.decide(MonotonicClock.millis()));
    return quarantine.mayRepeat(request);
  }

  /** Notes that a request is sent to a target. */
  void onSent(RequestTraits request, long now) {
    publish(quarantine.onSent(request, now));
  }

  /** Returns what a request is quarantined for. */
  String describe(RequestTraits request) {
    return quarantine.quarantines().stream()
        .filter(each -> request.all().containsAll(each.traits()))
        .map(each -> "%s crashed targets".formatted(ids(each.traits())))
        .collect(Collectors.joining("; "));
  }

  /**
   * Notes that a run broke off, and checks whether its target crashed.
   *
   * @param loop the event loop for the check
   * @param address where the target listens
   * @param next called on the loop after the check
   */
  void onBroken(EventLoop loop, CrashedRun run, InetSocketAddress address, Runnable next) {
    publish(quarantine.onBroken(run));
    connect(
        loop,
        run,
        address,
        cause -> {
          if (isRefused(cause)) {
            publish(quarantine.onCrashed(run.targetIncarnation(), run.brokenAt()));
          }
          loop.execute(next);
        });
  }

  /**
   * Notes that an unanswered run was given up at a target that is silent, and checks whether its
   * host is. At most one check of a target is under way in {@link #SILENT_CHECK_MILLIS}.
   */
  void onSilent(EventLoop loop, CrashedRun run, InetSocketAddress address) {
    publish(quarantine.onBroken(run));
    long due = run.brokenAt() - SILENT_CHECK_MILLIS;
    if (silentChecks.merge(address, run.brokenAt(), (last, now) -> last > due ? last : now)
        != run.brokenAt()) {
      return;
    }
    connect(
        loop,
        run,
        address,
        cause -> {
          if (cause instanceof ConnectException) {
            publish(quarantine.onCrashed(run.targetIncarnation(), run.brokenAt()));
          }
          silentChecks.values().removeIf(at -> at <= due);
        });
  }

  private static void connect(
      EventLoop loop, CrashedRun run, InetSocketAddress address, Consumer<Throwable> onResult) {
    new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
        .handler(new ChannelInboundHandlerAdapter())
        .connect(address)
        .addListener(
            (ChannelFuture connected) -> {
              if (connected.isSuccess()) {
                connected.channel().close();
              }
              logCheck(run, connected.cause());
              onResult.accept(connected.cause());
            });
  }

  /** Notes that an unanswered run was given up. */
  void onAbandoned(CrashedRun run) {
    publish(quarantine.onBroken(run));
  }

  /** Notes that a target has begun to answer a request, which clears its parts of suspicion. */
  void onAnswerBegun(String service, Set<RequestTrait> parts, long now) {
    publish(quarantine.onAnswerBegun(service, parts, now));
  }

  /** Notes that a target completed a request, which clears it of suspicion. */
  void onCompleted(RequestIdentity request, long now) {
    publish(quarantine.onCompleted(request, now));
  }

  /**
   * Notes that a target's incarnation ended without notice; see {@link
   * dev.ibishub.gateway.model.Target#incarnation}.
   */
  public void onIncarnationEnded(String targetIncarnation) {
    publish(quarantine.onEnded(targetIncarnation, MonotonicClock.millis()));
  }

  /** Takes in a report of another entry, when its turn comes. */
  public void onReport(CrashReport report, PeerMesh.Sender sender) {
    if (report.getId() != NO_ID && !recentIds.add(report.getId())) {
      return;
    }
    long receivedAt = MonotonicClock.millis();
    if (!intake.offer(() -> merge(report, receivedAt, sender), report.getSerializedSize())) {
      metrics.onRejected();
      requestWhatIsMissing(sender);
    }
  }

  /** Asks an entry for what it knows more, once the reports that wait now are merged. */
  private void requestWhatIsMissing(PeerMesh.Sender sender) {
    if (isDigestDue.getAndSet(true)) {
      return;
    }
    logger.atWarning().log("%s", LogEvent.of("crash.report_rejected"));
    intake.offer(
        () -> {
          isDigestDue.set(false);
          sender.reply().accept(digest());
        },
        NO_BYTES);
  }

  private void merge(CrashReport report, long receivedAt, PeerMesh.Sender sender) {
    long startedAt = System.nanoTime();
    long now = MonotonicClock.millis();
    CrashFindings reported = CrashMessages.findings(report, receivedAt);
    metrics.onMessage(Cause.RECEIVED, reported, report.getSerializedSize());
    contradict(reported, sender, now);
    CrashFindings news = quarantine.onReport(reported);
    log(news, "crash.told");
    CrashFindings own = withoutReported(news, reported);
    if (!own.isEmpty()) {
      broadcast(own, now);
    }
    CrashFindings told = withoutReported(news, own);
    if (!told.isEmpty() && report.getHops() < MAXIMUM_HOPS) {
      sender
          .forward()
          .accept(CrashMessages.broadcastFrame(told, report.getId(), report.getHops() + 1, now));
    }
    metrics.onMerged(System.nanoTime() - startedAt);
  }

  private void contradict(CrashFindings reported, PeerMesh.Sender sender, long now) {
    CrashFindings contradictions = quarantine.contradictions(reported);
    if (!contradictions.isEmpty()) {
      Frame frame = CrashMessages.directFrame(contradictions, now);
      metrics.onMessage(Cause.CONTRADICTED, contradictions, frame);
      sender.reply().accept(frame);
    }
  }

  private static CrashFindings withoutReported(CrashFindings news, CrashFindings reported) {
    return new CrashFindings(
        news.runs().stream().filter(run -> !isAmong(run, reported)).toList(),
        without(news.cleared(), reported.cleared()),
        without(news.probes(), reported.probes()),
        without(news.quarantines(), reported.quarantines()));
  }

  private static <T> List<T> without(List<T> all, List<T> excluded) {
    return all.stream().filter(each -> !excluded.contains(each)).toList();
  }

  private static boolean isAmong(CrashedRun run, CrashFindings reported) {
    return reported.runs().stream().anyMatch(run::isSameRun);
  }

  /** Returns a message with a digest of all suspicions, for an entry that has just been linked. */
  public Frame digest() {
    return CrashMessages.digestFrame(quarantine.digest());
  }

  /** Sends another entry what it doesn't know by its digest, after the reports that wait. */
  public void onDigest(CrashDigest digest, PeerMesh.Sender sender) {
    intake.offer(() -> answer(digest, sender), NO_BYTES);
  }

  private void answer(CrashDigest digest, PeerMesh.Sender sender) {
    if (digest.getIsEnd()) {
      findingsDueAt = Long.MIN_VALUE;
      return;
    }
    Set<Integer> differing = quarantine.digest().differing(CrashMessages.digest(digest));
    CrashFindings missing = quarantine.findings(differing);
    missing
        .pages(MAXIMUM_TRAITS)
        .forEach(page -> intake.offer(() -> sendMissing(page, sender), NO_BYTES));
    intake.offer(() -> sender.reply().accept(CrashMessages.digestEndFrame()), NO_BYTES);
  }

  private void sendMissing(CrashFindings page, PeerMesh.Sender sender) {
    Frame frame = CrashMessages.frame(page, MonotonicClock.millis());
    metrics.onMessage(Cause.LINKED, page, frame);
    sender.reply().accept(frame);
  }

  private void broadcast(CrashFindings findings, long now) {
    findings
        .pages(MAXIMUM_TRAITS)
        .forEach(
            page -> {
              long id = ThreadLocalRandom.current().nextLong();
              recentIds.add(id);
              Frame frame = CrashMessages.broadcastFrame(page, id, 0, now);
              metrics.onMessage(Cause.FOUND, page, frame);
              broadcast.accept(frame);
            });
  }

  private void publish(CrashFindings findings) {
    if (!findings.isEmpty()) {
      IndependentSteps.run(
          "report of crashes",
          List.of(
              () -> log(findings, "crash.suspected"),
              () -> broadcast(findings, MonotonicClock.millis())));
    }
  }

  private void log(CrashFindings findings, String runEvent) {
    findings.quarantines().forEach(each -> logLimited(quarantineLines, () -> event(each)));
    findings.runs().forEach(run -> logLimited(findingLines, () -> event(runEvent, run)));
    findings.cleared().forEach(each -> logLimited(findingLines, () -> event(each)));
    metrics.onFindings(findings);
  }

  private static void logLimited(LogLimit limit, Supplier<LogEvent> event) {
    if (limit.tryLog(MonotonicClock.millis())) {
      logger.atInfo().log("%s", event.get());
    }
  }

  private static void logOmitted(String of, LogLimit limit, long now) {
    long omitted = limit.takeOmitted(now);
    if (omitted > 0) {
      logger.atInfo().log("%s", LogEvent.of("crash.omitted").with("of", of).with("lines", omitted));
    }
  }

  private LogEvent event(String name, CrashedRun run) {
    return LogEvent.of(name)
        .with("identity", run.request().identity().digest())
        .with("service", run.request().service())
        .with("parts", String.join(",", run.request().partIds()))
        .with("target_life", run.targetIncarnation())
        .with("ran_ms", run.brokenAt() - run.sentAt())
        .with("crashes", quarantine.crashes(run.request().identity()));
  }

  private static LogEvent event(Clearing cleared) {
    return LogEvent.of("crash.cleared")
        .with("trait", cleared.trait().id())
        .with("service", cleared.trait().service());
  }

  private static LogEvent event(Quarantine quarantine) {
    return LogEvent.of("crash.quarantined")
        .with("traits", ids(quarantine.traits()))
        .with("workspaces", quarantine.workspaces().size())
        .with("trials", quarantine.trials())
        .with("next_trial_ms", quarantine.nextTrialAt() - MonotonicClock.millis());
  }

  private static String ids(Set<RequestTrait> traits) {
    return traits.stream().map(RequestTrait::id).sorted().collect(Collectors.joining(","));
  }

  private static void logCheck(CrashedRun run, Throwable cause) {
    logger.atInfo().log(
        "%s",
        LogEvent.of("crash.checked")
            .with("target_life", run.targetIncarnation())
            .with("ran_ms", run.brokenAt() - run.sentAt())
            .with("connect", cause == null ? "accepted" : cause.getClass().getSimpleName()));
  }

  private static boolean isRefused(Throwable cause) {
    return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
  }
}
