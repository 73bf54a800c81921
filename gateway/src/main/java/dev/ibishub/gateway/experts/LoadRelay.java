package dev.ibishub.gateway.experts;

import dev.ibishub.core.serving.TargetReport;
import dev.ibishub.gateway.front.TargetDirectory;
import dev.ibishub.wire.generated.Frame;
import dev.ibishub.wire.generated.LoadReport;
import dev.ibishub.wire.generated.LoadReports;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * Broadcasts the load that agents report: the few entries linked to agents, the collectors, send it
 * to all others. Thread-safe by one lock.
 *
 * <p>With links from each entry to each agent, 72 agents and 42 entries would exchange some 30,000
 * messages a second under load. With two collectors that send what they heard as one batch each
 * {@link #PERIOD_MILLIS}, it is some 1,500, and loads are up to that much older.
 */
public final class LoadRelay {
  /**
   * Number of entries linked to agents: the leader and the next in order, so that no report is
   * missed before the loss of a leader is noticed.
   */
  public static final int COLLECTORS = 2;

  /**
   * Interval between two batches to the other entries, milliseconds; half of the agents' period.
   */
  static final long PERIOD_MILLIS = 100;

  /**
   * How much newer an own report may be than another collector's and still count as equivalent,
   * milliseconds; agents report to both at the same moment.
   */
  static final long EQUIVALENT_MILLIS = 50;

  private final TargetDirectory targets;
  private final Consumer<Frame> broadcast;
  private final Map<String, TargetReport> unsent = new HashMap<>();
  private long nextAt;

  /**
   * Creates a relay.
   *
   * @param targets receives all reports
   * @param broadcast sends a message to all linked entries
   */
  public LoadRelay(TargetDirectory targets, Consumer<Frame> broadcast) {
    this.targets = targets;
    this.broadcast = broadcast;
  }

  /**
   * Takes a report that this entry itself received from the agent of a target.
   *
   * @param host the IP number of the target
   */
  public void onReport(String host, TargetReport report) {
    targets.onReport(host, report);
    synchronized (this) {
      unsent.put(host, report);
    }
  }

  /**
   * Takes reports that another collector sent to all entries. Equivalent own reports are not sent
   * any more, so each entry receives a report once, from the collector that was first.
   */
  public void onPeerReports(LoadReports reports, long now) {
    reports
        .getReportsList()
        .forEach(message -> onPeerReport(message.getHost(), report(message, now)));
  }

  private void onPeerReport(String host, TargetReport peerReport) {
    targets.onReport(host, peerReport);
    synchronized (this) {
      unsent.computeIfPresent(host, (any, own) -> isEquivalent(peerReport, own) ? null : own);
    }
  }

  private static boolean isEquivalent(TargetReport peerReport, TargetReport own) {
    return peerReport.measuredAt() >= own.measuredAt() - EQUIVALENT_MILLIS
        && peerReport.isOpen() == own.isOpen()
        && peerReport.group().equals(own.group());
  }

  /**
   * Sends the reports since the last batch. To be called often.
   *
   * @param collects whether this entry is a collector; if not, the reports are dropped
   */
  public void tick(boolean collects, long now) {
    List<LoadReport> batch;
    synchronized (this) {
      if (now < nextAt || unsent.isEmpty()) {
        return;
      }
      nextAt = now + PERIOD_MILLIS;
      batch =
          unsent.entrySet().stream()
              .map(each -> message(each.getKey(), each.getValue(), now))
              .toList();
      unsent.clear();
    }
    if (collects) {
      broadcast.accept(
          Frame.newBuilder().setLoadReports(LoadReports.newBuilder().addAllReports(batch)).build());
    }
  }

  private static LoadReport message(String host, TargetReport report, long now) {
    LoadReport.Builder message =
        LoadReport.newBuilder()
            .setHost(host)
            .setRequests(report.requests())
            .setClosed(!report.isOpen())
            .setAgeMillis((int) Math.max(0, now - report.measuredAt()));
    if (report.slowdown() != 1) {
      message.setPace((float) report.slowdown());
    }
    report.group().ifPresent(group -> message.setGroup(group.name()).setEpoch(group.epoch()));
    report.step().ifPresent(message::setStep);
    return message.build();
  }

  private static TargetReport report(LoadReport message, long now) {
    double slowdown = message.hasPace() ? message.getPace() : 1;
    return new TargetReport(
        message.getRequests(),
        slowdown,
        !message.getClosed(),
        now - message.getAgeMillis(),
        message.hasGroup()
            ? Optional.of(new TargetReport.GroupMembership(message.getGroup(), message.getEpoch()))
            : Optional.empty(),
        message.hasStep() ? OptionalLong.of(message.getStep()) : OptionalLong.empty());
  }
}
