package dev.ibishub.gateway.front;

import dev.ibishub.core.serving.crashes.CrashFindings;
import dev.ibishub.core.serving.crashes.CrashFindings.Clearing;
import dev.ibishub.core.serving.crashes.CrashFindings.Probe;
import dev.ibishub.core.serving.crashes.CrashedRun;
import dev.ibishub.core.serving.crashes.EvidenceDigest;
import dev.ibishub.core.serving.crashes.Quarantine;
import dev.ibishub.core.serving.crashes.RequestIdentity;
import dev.ibishub.core.serving.crashes.RequestTrait;
import dev.ibishub.core.serving.crashes.RequestTraits;
import dev.ibishub.wire.generated.BrokenRun;
import dev.ibishub.wire.generated.ClearedPart;
import dev.ibishub.wire.generated.CrashDigest;
import dev.ibishub.wire.generated.CrashReport;
import dev.ibishub.wire.generated.Frame;
import dev.ibishub.wire.generated.ProbedPart;
import dev.ibishub.wire.generated.PromptPart;
import dev.ibishub.wire.generated.QuarantinedRequests;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Conversion of findings to and from the messages that entries exchange about requests that crash
 * targets. Messages carry ages instead of times, as each process has a clock of its own.
 */
final class CrashMessages {
  private CrashMessages() {}

  /**
   * Returns a message that reports findings.
   *
   * @param now the sender's time, milliseconds
   */
  static Frame frame(CrashFindings findings, long now) {
    return Frame.newBuilder().setCrashReport(report(findings, now)).build();
  }

  /**
   * Returns a message that reports findings to one entry only, which tells the others.
   *
   * @param now the sender's time, milliseconds
   */
  static Frame directFrame(CrashFindings findings, long now) {
    return Frame.newBuilder().setCrashReport(report(findings, now).setDirect(true)).build();
  }

  /**
   * Returns a message to all entries that reports findings of this one, or tells on those of
   * another.
   *
   * @param id by which the entries recognize copies
   * @param hops how often it was told on, this time included
   * @param now the sender's time, milliseconds
   */
  static Frame broadcastFrame(CrashFindings findings, long id, int hops, long now) {
    return Frame.newBuilder().setCrashReport(report(findings, now).setId(id).setHops(hops)).build();
  }

  static Frame digestFrame(EvidenceDigest digest) {
    boolean isEmpty = digest.equals(EvidenceDigest.EMPTY);
    return digestFrame(
        CrashDigest.newBuilder().addAllBuckets(isEmpty ? List.of() : digest.buckets()));
  }

  private static Frame digestFrame(CrashDigest.Builder digest) {
    return Frame.newBuilder().setCrashDigest(digest).build();
  }

  /** Returns a message that ends what is sent in reply to a digest. */
  static Frame digestEndFrame() {
    return digestFrame(CrashDigest.newBuilder().setIsEnd(true));
  }

  static EvidenceDigest digest(CrashDigest message) {
    return new EvidenceDigest(message.getBucketsList());
  }

  private static CrashReport.Builder report(CrashFindings findings, long now) {
    CrashReport.Builder report = CrashReport.newBuilder();
    findings.runs().forEach(run -> report.addRuns(message(run, now)));
    findings.cleared().stream()
        .filter(each -> !isPart(each.trait()))
        .forEach(each -> report.addCleared(each.trait().id()));
    findings.cleared().stream()
        .filter(each -> isPart(each.trait()))
        .forEach(
            each ->
                report.addClearedParts(
                    ClearedPart.newBuilder()
                        .setPart(message(each.trait()))
                        .setAgeMillis(age(each.at(), now))));
    findings
        .probes()
        .forEach(
            each ->
                report.addProbedParts(
                    ProbedPart.newBuilder()
                        .setPart(message(each.trait()))
                        .setLeftMillis(Math.max(0, each.until() - now))));
    findings.quarantines().forEach(each -> report.addQuarantines(message(each, now)));
    return report;
  }

  private static BrokenRun message(CrashedRun run, long now) {
    return BrokenRun.newBuilder()
        .setRequest(run.request().identity().digest())
        .setService(run.request().service())
        .setWorkspace(run.request().workspace())
        .addAllParts(run.request().partIds())
        .setTargetLife(run.targetIncarnation())
        .setSentAgeMillis(age(run.sentAt(), now))
        .setBrokenAgeMillis(age(run.brokenAt(), now))
        .build();
  }

  private static PromptPart message(RequestTrait part) {
    return PromptPart.newBuilder().setService(part.service()).setId(part.id()).build();
  }

  private static QuarantinedRequests message(Quarantine quarantine, long now) {
    QuarantinedRequests.Builder message =
        QuarantinedRequests.newBuilder()
            .addAllWorkspaces(quarantine.workspaces())
            .setFirstSentAgeMillis(age(quarantine.firstSentAt(), now))
            .setTrials(quarantine.trials())
            .setNextTrialInMillis(quarantine.nextTrialAt() - now);
    quarantine.traits().stream()
        .filter(CrashMessages::isPart)
        .forEach(part -> message.addParts(message(part)));
    quarantine.traits().stream()
        .filter(trait -> !isPart(trait))
        .forEach(request -> message.setRequest(request.id()));
    return message.build();
  }

  /**
   * Reads findings from a message.
   *
   * @param now the receiver's time, milliseconds
   */
  static CrashFindings findings(CrashReport report, long now) {
    Stream<Clearing> clearedRequests =
        report.getClearedList().stream().map(digest -> new Clearing(requestTrait(digest), now));
    Stream<Clearing> clearedParts =
        report.getClearedPartsList().stream()
            .map(each -> new Clearing(trait(each.getPart()), now - each.getAgeMillis()));
    return new CrashFindings(
        report.getRunsList().stream().map(message -> run(message, now)).toList(),
        Stream.concat(clearedRequests, clearedParts).toList(),
        report.getProbedPartsList().stream()
            .map(each -> new Probe(trait(each.getPart()), now + each.getLeftMillis()))
            .toList(),
        report.getQuarantinesList().stream()
            .filter(each -> each.getPartsCount() > 0 || !each.getRequest().isEmpty())
            .map(each -> quarantine(each, now))
            .toList());
  }

  private static CrashedRun run(BrokenRun message, long now) {
    return new CrashedRun(
        new RequestTraits(
            message.getService(),
            message.getWorkspace(),
            new RequestIdentity(message.getRequest()),
            message.getPartsList()),
        message.getTargetLife(),
        now - message.getSentAgeMillis(),
        now - message.getBrokenAgeMillis());
  }

  private static Quarantine quarantine(QuarantinedRequests message, long now) {
    Set<RequestTrait> traits =
        Stream.concat(
                message.getPartsList().stream().map(CrashMessages::trait),
                Stream.of(message.getRequest())
                    .filter(digest -> !digest.isEmpty())
                    .map(CrashMessages::requestTrait))
            .collect(Collectors.toUnmodifiableSet());
    return new Quarantine(
        traits,
        Set.copyOf(message.getWorkspacesList()),
        now - message.getFirstSentAgeMillis(),
        message.getTrials(),
        now + message.getNextTrialInMillis());
  }

  private static RequestTrait trait(PromptPart part) {
    return RequestTrait.ofPart(part.getService(), part.getId());
  }

  private static RequestTrait requestTrait(String digest) {
    return RequestTrait.ofRequest(new RequestIdentity(digest));
  }

  private static boolean isPart(RequestTrait trait) {
    return trait.kind() == RequestTrait.Kind.PROMPT_PART;
  }

  private static long age(long time, long now) {
    return Math.max(0, now - time);
  }
}
