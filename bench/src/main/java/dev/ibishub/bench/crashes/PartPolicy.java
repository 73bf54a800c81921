package dev.ibishub.bench.crashes;

import dev.ibishub.core.serving.crashes.CrashFindings;
import dev.ibishub.core.serving.crashes.CrashedRun;
import dev.ibishub.core.serving.crashes.RequestIdentity;
import dev.ibishub.core.serving.crashes.RequestQuarantine;
import dev.ibishub.core.serving.crashes.RequestTrait;
import dev.ibishub.core.serving.crashes.RequestTraits;
import dev.ibishub.core.serving.crashes.SendPermission;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * One entry's policy on requests that crash targets because of a part of their prompts. Methods
 * that return findings return what to tell the other entries. Times are in milliseconds.
 */
interface PartPolicy {
  SendPermission permission(RequestTraits request, boolean mayTry, long now);

  boolean mayRepeat(RequestTraits request);

  CrashFindings onSent(RequestTraits request, long now);

  /** Handles runs of this entry that broke off as their target ended. */
  CrashFindings onCrash(Collection<CrashedRun> runs);

  /** Handles a run that was given up unanswered. */
  CrashFindings onAbandoned(CrashedRun run);

  /** Handles the announcement of the successor of a target that ended. */
  CrashFindings onSuccessor(String targetIncarnation, long now);

  CrashFindings onAnswerBegun(String service, Set<RequestTrait> parts, long now);

  /** Returns what to tell the entry that reported, and it alone. */
  CrashFindings contradictions(CrashFindings report);

  CrashFindings onReport(CrashFindings report);

  /** Judges by the evidence so far. */
  CrashFindings decide(long now);

  /** Returns all that an entry that starts has to know. */
  CrashFindings all();

  /** Returns the sets of traits that keep a request from targets. */
  Set<Set<RequestTrait>> quarantined();

  /** Returns the policy of the entries, {@link RequestQuarantine}. */
  static PartPolicy quarantine() {
    return new QuarantinePolicy();
  }

  /** Returns the policy of the entries for requests whose parts are not known. */
  static PartPolicy wholeRequests() {
    return new QuarantinePolicy() {
      @Override
      RequestTraits seen(RequestTraits request) {
        return new RequestTraits(
            request.service(), request.workspace(), request.identity(), List.of());
      }
    };
  }

  /** Returns a policy that quarantines each part after a number of unanswered crashes. */
  static PartPolicy counting(int crashes) {
    return new CountingPolicy(crashes);
  }

  /** {@link RequestQuarantine} as a policy. */
  class QuarantinePolicy implements PartPolicy {
    private final RequestQuarantine quarantine = new RequestQuarantine();

    /** Returns what the policy gets to see of a request. */
    RequestTraits seen(RequestTraits request) {
      return request;
    }

    private CrashedRun seen(CrashedRun run) {
      return new CrashedRun(
          seen(run.request()), run.targetIncarnation(), run.sentAt(), run.brokenAt());
    }

    @Override
    public SendPermission permission(RequestTraits request, boolean mayTry, long now) {
      return quarantine.permission(seen(request), mayTry, now);
    }

    @Override
    public boolean mayRepeat(RequestTraits request) {
      return quarantine.mayRepeat(seen(request));
    }

    @Override
    public CrashFindings onSent(RequestTraits request, long now) {
      return quarantine.onSent(seen(request), now);
    }

    @Override
    public CrashFindings onCrash(Collection<CrashedRun> runs) {
      runs.forEach(run -> quarantine.onBroken(seen(run)));
      return runs.stream()
          .findFirst()
          .map(run -> quarantine.onCrashed(run.targetIncarnation(), run.brokenAt()))
          .orElse(CrashFindings.NONE);
    }

    @Override
    public CrashFindings onAbandoned(CrashedRun run) {
      return quarantine.onBroken(seen(run));
    }

    @Override
    public CrashFindings onSuccessor(String targetIncarnation, long now) {
      return quarantine.onEnded(targetIncarnation, now);
    }

    @Override
    public CrashFindings onAnswerBegun(String service, Set<RequestTrait> parts, long now) {
      return quarantine.onAnswerBegun(service, parts, now);
    }

    @Override
    public CrashFindings contradictions(CrashFindings report) {
      return quarantine.contradictions(report);
    }

    @Override
    public CrashFindings onReport(CrashFindings report) {
      return quarantine.onReport(report);
    }

    @Override
    public CrashFindings decide(long now) {
      return quarantine.decide(now);
    }

    @Override
    public CrashFindings all() {
      return quarantine.all();
    }

    @Override
    public Set<Set<RequestTrait>> quarantined() {
      return quarantine.quarantines().stream()
          .map(each -> each.traits())
          .collect(Collectors.toUnmodifiableSet());
    }
  }

  /** Counts the crashes of each part since it was last answered. */
  final class CountingPolicy implements PartPolicy {
    private final int bound;
    private final Map<RequestTrait, Set<String>> incarnations = new HashMap<>();

    CountingPolicy(int bound) {
      this.bound = bound;
    }

    @Override
    public SendPermission permission(RequestTraits request, boolean mayTry, long now) {
      return request.parts().stream().anyMatch(this::isQuarantined)
          ? SendPermission.QUARANTINED
          : SendPermission.ALLOWED;
    }

    private boolean isQuarantined(RequestTrait part) {
      return incarnations.getOrDefault(part, Set.of()).size() >= bound;
    }

    @Override
    public boolean mayRepeat(RequestTraits request) {
      return request.parts().stream().noneMatch(this::isQuarantined);
    }

    @Override
    public CrashFindings onSent(RequestTraits request, long now) {
      return CrashFindings.NONE;
    }

    @Override
    public CrashFindings onCrash(Collection<CrashedRun> runs) {
      runs.forEach(
          run ->
              run.request()
                  .parts()
                  .forEach(
                      part ->
                          incarnations
                              .computeIfAbsent(part, any -> new HashSet<>())
                              .add(run.targetIncarnation())));
      return new CrashFindings(List.copyOf(runs), List.of(), List.of(), List.of());
    }

    @Override
    public CrashFindings onAbandoned(CrashedRun run) {
      return CrashFindings.NONE;
    }

    @Override
    public CrashFindings onSuccessor(String targetIncarnation, long now) {
      return CrashFindings.NONE;
    }

    @Override
    public CrashFindings onAnswerBegun(String service, Set<RequestTrait> parts, long now) {
      List<CrashFindings.Clearing> cleared =
          parts.stream()
              .filter(part -> incarnations.remove(part) != null)
              .map(part -> new CrashFindings.Clearing(part, now))
              .toList();
      return new CrashFindings(List.of(), cleared, List.of(), List.of());
    }

    @Override
    public CrashFindings contradictions(CrashFindings report) {
      return CrashFindings.NONE;
    }

    @Override
    public CrashFindings onReport(CrashFindings report) {
      onCrash(report.runs());
      report.cleared().forEach(each -> incarnations.remove(each.trait()));
      return CrashFindings.NONE;
    }

    @Override
    public CrashFindings decide(long now) {
      return CrashFindings.NONE;
    }

    @Override
    public CrashFindings all() {
      return CrashFindings.NONE;
    }

    @Override
    public Set<Set<RequestTrait>> quarantined() {
      return incarnations.keySet().stream()
          .filter(this::isQuarantined)
          .map(Set::of)
          .collect(Collectors.toUnmodifiableSet());
    }
  }

  /** Returns the identity of a request that differs from all others. */
  static RequestIdentity identity(long number) {
    return new RequestIdentity(Long.toHexString(number));
  }
}
