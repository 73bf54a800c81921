package dev.ibishub.gateway.front;

import dev.ibishub.core.serving.crashes.CrashedRun;
import dev.ibishub.core.serving.crashes.RequestIdentity;
import dev.ibishub.core.serving.crashes.RequestTrait;
import dev.ibishub.core.serving.crashes.RequestTraits;
import dev.ibishub.core.serving.crashes.SendPermission;
import dev.ibishub.gateway.model.Workspace;
import dev.ibishub.runtime.MonotonicClock;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * One request's dealings with the {@link CrashDetector}: whether it may be sent, and what became of
 * its runs. Runs on the event loop of the caller's connection; not thread-safe.
 */
final class CrashGuard {
  /** How long a target must have been silent to be checked when a run is given up, milliseconds. */
  private static final long SILENT_MILLIS = 1_500;

  private final CrashDetector crashes;
  private final FullHttpRequest request;
  private final Routing.Routed routed;
  private final List<String> promptParts;
  private RequestTraits traits;

  /**
   * Creates a guard.
   *
   * @param request the request; not to be released before the guard is no longer used
   * @param promptParts ids of the parts of its prompt that other requests may share
   */
  CrashGuard(
      CrashDetector crashes,
      FullHttpRequest request,
      Routing.Routed routed,
      List<String> promptParts) {
    this.crashes = crashes;
    this.request = request;
    this.routed = routed;
    this.promptParts = promptParts;
  }

  /** Returns whether the request may be sent for the first time. */
  SendPermission permission(long now) {
    if (!promptParts.isEmpty() && crashes.isAwaitingFindings(now)) {
      return SendPermission.HELD;
    }
    return crashes.isWatching() ? crashes.permission(traits(), now) : SendPermission.ALLOWED;
  }

  /** Whether the request may be sent once more: as a retry, hedged or to resume its stream. */
  boolean mayRepeat() {
    return !crashes.isWatching() || crashes.mayRepeat(traits());
  }

  /** Takes in that the request is sent to a target. */
  void onSent(long now) {
    if (crashes.isWatching()) {
      crashes.onSent(traits(), now);
    }
  }

  /** Takes in that a target has begun to answer. */
  void onAnswerBegun(long now) {
    crashes.onAnswerBegun(routed.service(), parts(), now);
  }

  /** Takes in that a target has answered in full. */
  void onCompleted(long now) {
    if (crashes.isWatching()) {
      crashes.onCompleted(traits().identity(), now);
    }
  }

  /**
   * Takes in that the connection to a target broke, and checks whether the target crashed.
   *
   * @param hasBegun whether the target had begun its answer
   * @param next called on the loop after the check
   */
  void onBroken(
      EventLoop loop,
      TargetDirectory.ListedTarget target,
      long sentAt,
      boolean hasBegun,
      Runnable next) {
    crashes.onBroken(loop, run(target, sentAt, hasBegun), target.address(), next);
  }

  /**
   * Takes in that an unanswered run was given up. If its target turns out to have crashed, it was
   * perhaps the cause; a target that has been silent for long is checked at once.
   */
  void onAbandoned(EventLoop loop, TargetDirectory.ListedTarget target, long sentAt, long now) {
    CrashedRun run = run(target, sentAt, false);
    boolean isSilent = now - sentAt >= SILENT_MILLIS && !target.load().hasAnsweredSince(sentAt);
    if (isSilent && !promptParts.isEmpty()) {
      crashes.onSilent(loop, run, target.address());
    } else {
      crashes.onAbandoned(run);
    }
  }

  /** Returns why the request is quarantined, for the log. */
  String cause() {
    return crashes.describe(traits());
  }

  private CrashedRun run(TargetDirectory.ListedTarget target, long sentAt, boolean hasBegun) {
    RequestTraits all = traits();
    RequestTraits suspected =
        hasBegun
            ? new RequestTraits(all.service(), all.workspace(), all.identity(), List.of())
            : all;
    return new CrashedRun(
        suspected, target.target().incarnation(), sentAt, MonotonicClock.millis());
  }

  private Set<RequestTrait> parts() {
    return promptParts.stream()
        .map(id -> RequestTrait.ofPart(routed.service(), id))
        .collect(Collectors.toUnmodifiableSet());
  }

  /** Returns the traits; worked out when first needed, as that reads the whole body. */
  private RequestTraits traits() {
    if (traits == null) {
      String workspace = routed.workspace().map(Workspace::name).orElse("");
      traits =
          new RequestTraits(
              routed.service(),
              workspace,
              RequestIdentity.of(request.uri(), workspace, request.content().nioBuffer()),
              promptParts);
    }
    return traits;
  }
}
