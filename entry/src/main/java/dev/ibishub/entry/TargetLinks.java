package dev.ibishub.entry;

import com.google.common.flogger.FluentLogger;
import dev.ibishub.core.MemberRecord;
import dev.ibishub.core.MemberRole;
import dev.ibishub.core.Membership;
import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import dev.ibishub.core.Router;
import dev.ibishub.core.TargetStatus;
import dev.ibishub.runtime.LogEvent;
import dev.ibishub.wire.Link;
import dev.ibishub.wire.LinkListener;
import dev.ibishub.wire.WireTransport;
import dev.ibishub.wire.generated.Frame;
import dev.ibishub.wire.generated.TargetReport;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.stream.Stream;

/**
 * Links from this entry to agents. Connects to the agents that the membership selects, feeds their
 * reports to the router, and passes each frame to the attempt or listener that it belongs to.
 * Thread-safe.
 */
final class TargetLinks implements LinkListener {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final WireTransport transport;
  private final Membership membership;
  private final Router router;
  private final InstantSource clock;
  private final Map<String, Link> links = new ConcurrentHashMap<>();
  private final Set<String> connecting = ConcurrentHashMap.newKeySet();
  private final Map<String, AttemptListener> attempts = new ConcurrentHashMap<>();
  private final Map<String, TargetReport> reports = new ConcurrentHashMap<>();
  private final List<Consumer<Frame>> frameListeners = new CopyOnWriteArrayList<>();

  /** Receives the frames of one attempt. Calls come on I/O threads and must not block. */
  interface AttemptListener {
    void onFrame(Link link, Frame frame);

    void onLinkLost(Link link);

    /** Returns the target whose agent runs the attempt. */
    String target();
  }

  TargetLinks(WireTransport transport, Membership membership, Router router, InstantSource clock) {
    this.transport = transport;
    this.membership = membership;
    this.router = router;
    this.clock = clock;
  }

  /** Connects to the agents that the membership selects and that have no open link. */
  void connectAll() {
    membership.membersToLink().stream()
        .filter(member -> member.role() == MemberRole.AGENT)
        .forEach(this::connect);
  }

  /** Returns the open link to a target, or empty if there is none. */
  Optional<Link> link(String target) {
    return Optional.ofNullable(links.get(target)).filter(Link::isOpen);
  }

  /**
   * Returns the link to a target, connecting first if none is open; fails with {@code
   * TARGET_UNREACHABLE} if the target is unknown or cannot be reached.
   */
  CompletableFuture<Link> linkTo(String target) {
    return link(target)
        .map(CompletableFuture::completedFuture)
        .orElseGet(
            () ->
                membership
                    .member(target)
                    .map(member -> transport.connect(member.host(), member.port(), this))
                    .orElseGet(() -> CompletableFuture.failedFuture(unknownTarget(target))));
  }

  private static ResultException unknownTarget(String target) {
    return new ResultException(ResultCode.TARGET_UNREACHABLE, "no VM is known for " + target);
  }

  void register(String attemptId, AttemptListener listener) {
    attempts.put(attemptId, listener);
  }

  void unregister(String attemptId) {
    attempts.remove(attemptId);
  }

  /**
   * Adds a listener for frames that belong to no attempt, such as replies to orders and group
   * commands.
   */
  void addFrameListener(Consumer<Frame> listener) {
    frameListeners.add(listener);
  }

  /** Returns the latest report of each linked target. */
  Stream<TargetReport> reports() {
    return reports.values().stream();
  }

  int linkCount() {
    return links.size();
  }

  @Override
  public void onOpen(Link link) {
    String target = link.peer().processId();
    links.put(target, link);
    membership.recordContact(target, link.peer().incarnation(), clock.instant());
    logger.atInfo().log("%s", LogEvent.of("target.linked").with("target", target));
  }

  @Override
  public void onFrame(Link link, Frame frame) {
    switch (frame.getBodyCase()) {
      case TARGET_REPORT -> onReport(link, frame.getTargetReport());
      case CACHE_REPORT ->
          router.cacheReport(
              frame.getCacheReport().getTarget(),
              frame.getCacheReport().getAddedPrefixesList(),
              frame.getCacheReport().getEvictedPrefixesList());
      case STARTED -> forwardToAttempt(link, frame.getStarted().getAttemptId(), frame);
      case CHUNK -> forwardToAttempt(link, frame.getChunk().getAttemptId(), frame);
      case END -> forwardToAttempt(link, frame.getEnd().getAttemptId(), frame);
      case REVOKE_REPLY -> forwardToAttempt(link, frame.getRevokeReply().getAttemptId(), frame);
      default -> frameListeners.forEach(listener -> listener.accept(frame));
    }
  }

  @Override
  public void onClose(Link link) {
    String target = link.peer().processId();
    if (links.remove(target, link)) {
      router.remove(target);
      reports.remove(target);
      membership.recordFailedProbe(target, clock.instant());
      logger.atInfo().log("%s", LogEvent.of("target.lost").with("target", target));
    }
    attempts.values().stream()
        .filter(attempt -> attempt.target().equals(target))
        .toList()
        .forEach(attempt -> attempt.onLinkLost(link));
  }

  private void connect(MemberRecord member) {
    if (links.containsKey(member.id()) || !connecting.add(member.id())) {
      return;
    }
    transport
        .connect(member.host(), member.port(), this)
        .whenComplete(
            (link, failure) -> {
              connecting.remove(member.id());
              if (failure != null) {
                membership.recordFailedProbe(member.id(), clock.instant());
              }
            });
  }

  private void forwardToAttempt(Link link, String attemptId, Frame frame) {
    Optional.ofNullable(attempts.get(attemptId)).ifPresent(attempt -> attempt.onFrame(link, frame));
  }

  private void onReport(Link link, TargetReport report) {
    Instant now = clock.instant();
    membership.recordContact(report.getTarget(), link.peer().incarnation(), now);
    if (report.getLeaving()) {
      membership.markLeaving(report.getTarget(), now);
    }
    reports.put(report.getTarget(), report);
    router.report(
        new TargetStatus(
            report.getTarget(),
            report.getZone(),
            report.getLeaving(),
            report.getEngineReachable(),
            report.getQueued(),
            report.getRunning(),
            report.getLimit(),
            report.getQueuedTokens(),
            report.getTokensPerSecond(),
            Set.copyOf(report.getServedList()),
            Instant.ofEpochMilli(report.getMeasuredAtMillis())),
        now);
  }
}
