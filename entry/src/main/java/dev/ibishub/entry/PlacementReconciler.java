package dev.ibishub.entry;

import com.google.common.flogger.FluentLogger;
import dev.ibishub.core.Configuration;
import dev.ibishub.core.Configuration.Placement;
import dev.ibishub.core.ResultException;
import dev.ibishub.runtime.LogEvent;
import dev.ibishub.wire.generated.OrderRequest;
import dev.ibishub.wire.generated.TargetReport;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Brings each target to what the configuration places on it, by orders to its agent. The fencing
 * token of an order is the revision that it carries out: an entry that was cut off, or paused, and
 * still has an older revision is refused by the agent. Orders of one revision say the same whoever
 * gives them, so two entries that both think a target theirs do no harm. Thread-safe.
 */
final class PlacementReconciler {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Supplier<Configuration> configuration;
  private final Supplier<Stream<TargetReport>> reports;
  private final Predicate<String> isMine;
  private final OrderDesk orders;
  private final Set<String> open = ConcurrentHashMap.newKeySet();

  PlacementReconciler(
      Supplier<Configuration> configuration,
      Supplier<Stream<TargetReport>> reports,
      Predicate<String> isMine,
      OrderDesk orders) {
    this.configuration = configuration;
    this.reports = reports;
    this.isMine = isMine;
    this.orders = orders;
  }

  /** Gives the next order to each target that differs; one at a time for each. */
  void tick() {
    Configuration current = configuration.get();
    reports
        .get()
        .filter(report -> current.placements().containsKey(report.getTarget()))
        .filter(report -> report.getService().isEmpty() && !report.getLeaving())
        .filter(report -> isMine.test(report.getTarget()))
        .forEach(report -> reconcile(report, current));
  }

  private void reconcile(TargetReport report, Configuration current) {
    Set<String> wanted = wanted(current.placements().get(report.getTarget()));
    Set<String> served = Set.copyOf(report.getServedList());
    Stream<OrderRequest> loads =
        wanted.stream()
            .filter(name -> !served.contains(name))
            .sorted()
            .map(name -> order("load", name, report.getTarget(), current.revision()));
    Stream<OrderRequest> unloads =
        served.stream()
            .filter(name -> !wanted.contains(name))
            .sorted()
            .map(name -> order("unload", name, report.getTarget(), current.revision()));
    Stream.concat(loads, unloads).findFirst().ifPresent(order -> give(report.getTarget(), order));
  }

  private void give(String target, OrderRequest order) {
    if (!open.add(target)) {
      return;
    }
    orders
        .send(target, order)
        .whenComplete(
            (reply, failure) -> {
              open.remove(target);
              LogEvent event =
                  LogEvent.of("order.given")
                      .with("target", target)
                      .with("kind", order.getKind())
                      .with("model", order.getModel())
                      .with("revision", order.getFencingToken());
              logger.atInfo().log("%s", failure == null ? event : with(event, failure));
            });
  }

  private static LogEvent with(LogEvent event, Throwable failure) {
    Throwable cause = failure.getCause() == null ? failure : failure.getCause();
    return cause instanceof ResultException result
        ? event.code(result.code()).with("detail", result.getMessage())
        : event.with("detail", cause);
  }

  private static Set<String> wanted(Placement placement) {
    List<String> versions = placement.versions();
    Stream<String> models =
        placement.models().stream()
            .flatMap(
                model ->
                    versions.isEmpty()
                        ? Stream.of(model)
                        : versions.stream().map(version -> model + "@" + version));
    Stream<String> adapters =
        placement.models().stream()
            .flatMap(model -> placement.adapters().stream().map(adapter -> model + "+" + adapter));
    return Stream.concat(models, adapters).collect(Collectors.toSet());
  }

  /** The order's name tells what it is for, so that one given twice is done once. */
  private static OrderRequest order(String kind, String name, String target, long revision) {
    String[] model = name.split("[@+]", 2);
    boolean version = name.contains("@");
    boolean adapter = name.contains("+");
    return OrderRequest.newBuilder()
        .setOrderId(kind + " " + name + " " + target + " " + revision)
        .setKind(kind)
        .setFencingToken(revision)
        .setModel(model[0])
        .setVersion(version ? model[1] : "")
        .setAdapter(adapter ? model[1] : "")
        .setOrderedBy("placement")
        .build();
  }
}
