package dev.ibishub.entry;

import com.google.protobuf.ByteString;
import dev.ibishub.administration.ConfigurationFollower;
import dev.ibishub.core.Admission;
import dev.ibishub.core.ConfigurationReader;
import dev.ibishub.core.MemberRecord;
import dev.ibishub.core.MemberRole;
import dev.ibishub.core.Membership;
import dev.ibishub.core.WorkspaceUse;
import dev.ibishub.wire.Link;
import dev.ibishub.wire.LinkListener;
import dev.ibishub.wire.WireTransport;
import dev.ibishub.wire.generated.ConfigurationDigest;
import dev.ibishub.wire.generated.ConfigurationTransfer;
import dev.ibishub.wire.generated.Frame;
import dev.ibishub.wire.generated.MembershipDigest;
import dev.ibishub.wire.generated.UsageReport;
import dev.ibishub.wire.generated.WorkspaceUsage;
import java.time.InstantSource;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;

/**
 * Links between entries, over which they gossip membership, configuration and workspace usage.
 * Decides nothing itself: received data goes to the membership, the configuration follower and the
 * admission. Thread-safe.
 */
final class PeerLinks implements LinkListener {
  private final WireTransport transport;
  private final Membership membership;
  private final ConfigurationFollower configuration;
  private final Admission admission;
  private final InstantSource clock;
  private final Set<Link> links = ConcurrentHashMap.newKeySet();
  private final Set<String> connecting = ConcurrentHashMap.newKeySet();
  private Map<String, WorkspaceUse> lastSentUsage = Map.of();

  PeerLinks(
      WireTransport transport,
      Membership membership,
      ConfigurationFollower configuration,
      Admission admission,
      InstantSource clock) {
    this.transport = transport;
    this.membership = membership;
    this.configuration = configuration;
    this.admission = admission;
    this.clock = clock;
  }

  /** Connects to the entries that the membership selects and that have no open link. */
  void connectAll() {
    membership.membersToLink().stream()
        .filter(member -> member.role() == MemberRole.ENTRY)
        .filter(member -> links.stream().noneMatch(link -> isLinkTo(link, member)))
        .filter(member -> connecting.add(member.id()))
        .forEach(this::connect);
  }

  /** Sends this entry's digests and usage changes to all linked peers. */
  void sendUpdates() {
    sendToAll(membershipDigest());
    sendToAll(configurationDigest());
    UsageReport changes = usageChanges();
    if (changes.getWorkspacesCount() > 0) {
      sendToAll(Frame.newBuilder().setUsageReport(changes).build());
    }
  }

  int linkCount() {
    return links.size();
  }

  @Override
  public void onOpen(Link link) {
    links.add(link);
    membership.recordContact(link.peer().processId(), link.peer().incarnation(), clock.instant());
    link.offer(membershipDigest());
    link.offer(configurationDigest());
    link.offer(Frame.newBuilder().setUsageReport(allUsage()).build());
  }

  @Override
  public void onFrame(Link link, Frame frame) {
    switch (frame.getBodyCase()) {
      case MEMBERSHIP_DIGEST -> onMembership(link, frame.getMembershipDigest());
      case CONFIGURATION_DIGEST -> onConfigurationDigest(link, frame.getConfigurationDigest());
      case CONFIGURATION_TRANSFER ->
          configuration.acceptPeerSnapshot(
              frame.getConfigurationTransfer().getSnapshot().toByteArray());
      case USAGE_REPORT -> onUsage(frame.getUsageReport());
      default -> {
        // Frames of other kinds, such as those of a newer release, are ignored.
      }
    }
  }

  @Override
  public void onClose(Link link) {
    links.remove(link);
    membership.recordFailedProbe(link.peer().processId(), clock.instant());
  }

  private void connect(MemberRecord member) {
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

  private static boolean isLinkTo(Link link, MemberRecord member) {
    return link.peer().processId().equals(member.id());
  }

  private void onMembership(Link link, MembershipDigest digest) {
    membership.merge(
        digest.getMembersList().stream().map(MemberConverter::fromWire).toList(), clock.instant());
    membership.recordContact(link.peer().processId(), link.peer().incarnation(), clock.instant());
  }

  private void onConfigurationDigest(Link link, ConfigurationDigest digest) {
    var peerDigest =
        new ConfigurationReader.Digest(
            digest.getRevision(), digest.getHash(), digest.getNextOffset());
    if (configuration.isKnown() && peerDigest.isBehind(configuration.digest())) {
      link.offer(
          Frame.newBuilder()
              .setConfigurationTransfer(
                  ConfigurationTransfer.newBuilder()
                      .setSnapshot(ByteString.copyFrom(configuration.encodeSnapshot())))
              .build());
    }
  }

  private void onUsage(UsageReport report) {
    Map<String, WorkspaceUse> usage =
        report.getWorkspacesList().stream()
            .collect(
                Collectors.toMap(
                    WorkspaceUsage::getWorkspace,
                    use -> new WorkspaceUse(use.getRequests(), use.getTokens())));
    admission.observePeerUsage(report.getEntry(), usage, clock.instant());
  }

  private void sendToAll(Frame frame) {
    links.forEach(link -> link.offer(frame));
  }

  private Frame membershipDigest() {
    return Frame.newBuilder()
        .setMembershipDigest(
            MembershipDigest.newBuilder()
                .setSender(membership.self().id())
                .addAllMembers(
                    membership.digest(clock.instant()).stream()
                        .map(MemberConverter::toWire)
                        .toList()))
        .build();
  }

  private Frame configurationDigest() {
    ConfigurationReader.Digest digest = configuration.digest();
    return Frame.newBuilder()
        .setConfigurationDigest(
            ConfigurationDigest.newBuilder()
                .setRevision(digest.revision())
                .setHash(digest.hash())
                .setNextOffset(digest.stateOffset()))
        .build();
  }

  private UsageReport allUsage() {
    return report(admission.usage(clock.instant()));
  }

  /**
   * Returns only what changed since the last report, because most workspaces are idle at any time.
   */
  private synchronized UsageReport usageChanges() {
    Map<String, WorkspaceUse> now = admission.usage(clock.instant());
    Map<String, WorkspaceUse> changed =
        now.entrySet().stream()
            .filter(entry -> !entry.getValue().equals(lastSentUsage.get(entry.getKey())))
            .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
    lastSentUsage = now;
    return report(changed);
  }

  private UsageReport report(Map<String, WorkspaceUse> usage) {
    return UsageReport.newBuilder()
        .setEntry(membership.self().id())
        .addAllWorkspaces(
            usage.entrySet().stream()
                .map(
                    entry ->
                        WorkspaceUsage.newBuilder()
                            .setWorkspace(entry.getKey())
                            .setRequests(entry.getValue().requests())
                            .setTokens(entry.getValue().tokens())
                            .build())
                .toList())
        .build();
  }
}
