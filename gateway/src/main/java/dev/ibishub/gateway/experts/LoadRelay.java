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
import java.util.function.Consumer;

/**
 * Tells all entries what the agents said to the few that are linked to them. Thread-safe by one
 * lock.
 *
 * <p>With links from each entry to each agent, 72 agents and 42 entries would exchange some 30,000
 * messages a second under load; through two entries that pass on what they heard, together, each
 * {@link #PERIOD_MILLIS}, they exchange some 1,500. Loads are then up to that much older.
 */
public final class LoadRelay {
  /**
   * Entries that hear the agents: the leading one, and the next in order, so that no report is
   * missed while a lost leader is noticed.
   */
  public static final int COLLECTORS = 2;

  /** Time between two messages to the other entries, milliseconds; half of the agents' period. */
  static final long PERIOD_MILLIS = 100;

  /**
   * What another collector told of a target is as good as an own report that is newer by no more
   * than this, milliseconds; agents report to both at the same moment.
   */
  static final long AS_GOOD_MILLIS = 50;

  private final TargetDirectory targets;
  private final Consumer<Frame> broadcast;
  private final Map<String, TargetReport> untold = new HashMap<>();
  private long nextAt;

  /**
   * Creates a relay.
   *
   * @param targets takes all reports
   * @param broadcast sends a message to all linked entries
   */
  public LoadRelay(TargetDirectory targets, Consumer<Frame> broadcast) {
    this.targets = targets;
    this.broadcast = broadcast;
  }

  /** Takes in what this entry itself heard of the target at an IP number. */
  public void onReport(String host, TargetReport report) {
    targets.onReport(host, report);
    synchronized (this) {
      untold.put(host, report);
    }
  }

  /**
   * Takes in what another entry heard. As it told all entries, this one leaves that out: each hears
   * of a report once, from the collector whose turn came first.
   */
  public void onTold(LoadReports told, long now) {
    told.getReportsList().forEach(message -> onTold(message.getHost(), report(message, now)));
  }

  private void onTold(String host, TargetReport told) {
    targets.onReport(host, told);
    synchronized (this) {
      untold.computeIfPresent(host, (any, own) -> isAsGood(told, own) ? null : own);
    }
  }

  private static boolean isAsGood(TargetReport told, TargetReport own) {
    return told.measuredAt() >= own.measuredAt() - AS_GOOD_MILLIS
        && told.isOpen() == own.isOpen()
        && told.group().equals(own.group());
  }

  /**
   * Tells the others what is new. To be called often.
   *
   * @param collects whether this entry is one of those that do
   */
  public void tick(boolean collects, long now) {
    List<LoadReport> news;
    synchronized (this) {
      if (now < nextAt || untold.isEmpty()) {
        return;
      }
      nextAt = now + PERIOD_MILLIS;
      news =
          untold.entrySet().stream()
              .map(each -> message(each.getKey(), each.getValue(), now))
              .toList();
      untold.clear();
    }
    if (collects) {
      broadcast.accept(
          Frame.newBuilder().setLoadReports(LoadReports.newBuilder().addAllReports(news)).build());
    }
  }

  private static LoadReport message(String host, TargetReport report, long now) {
    LoadReport.Builder message =
        LoadReport.newBuilder()
            .setHost(host)
            .setRequests(report.requests())
            .setClosed(!report.isOpen())
            .setAgeMillis((int) Math.max(0, now - report.measuredAt()));
    if (report.pace() != 1) {
      message.setPace((float) report.pace());
    }
    report.group().ifPresent(group -> message.setGroup(group.name()).setEpoch(group.epoch()));
    return message.build();
  }

  private static TargetReport report(LoadReport message, long now) {
    double pace = message.hasPace() ? message.getPace() : 1;
    return new TargetReport(
        message.getRequests(),
        pace,
        !message.getClosed(),
        now - message.getAgeMillis(),
        message.hasGroup()
            ? Optional.of(new TargetReport.GroupWord(message.getGroup(), message.getEpoch()))
            : Optional.empty());
  }
}
