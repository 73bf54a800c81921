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
 * Reconciles the models on each target with the configured placement, by orders to its agent. An
 * order's fencing token is the configuration revision that it carries out, so agents refuse the
 * orders of an entry that was partitioned or paused and still has an older revision. Orders of one
 * revision are the same from any entry, so two entries that both own a target do no harm.
 * Thread-safe.
 */
final class PlacementReconciler {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Supplier<Configuration> configuration;
  private final Supplier<Stream<TargetReport>> reports;
  private final Predicate<String> ownsTask;
  private final OrderSender orders;
  private final Set<String> targetsWithOpenOrder = ConcurrentHashMap.newKeySet();

  PlacementReconciler(
      Supplier<Configuration> configuration,
      Supplier<Stream<TargetReport>> reports,
      Predicate<String> ownsTask,
      OrderSender orders) {
    this.configuration = configuration;
    this.reports = reports;
    this.ownsTask = ownsTask;
    this.orders = orders;
  }

  /**
   * Sends the next order to each target that differs from its placement, with at most one open
   * order for each target.
   */
  void tick() {
    Configuration current = configuration.get();
    reports
        .get()
        .filter(report -> current.placements().containsKey(report.getTarget()))
        .filter(report -> report.getService().isEmpty() && !report.getLeaving())
        .filter(report -> ownsTask.test(report.getTarget()))
        .forEach(report -> reconcile(report, current));
  }

  private void reconcile(TargetReport report, Configuration current) {
    Set<String> desired = desired(current.placements().get(report.getTarget()));
    Set<String> served = Set.copyOf(report.getServedList());
    Stream<OrderRequest> loads =
        desired.stream()
            .filter(name -> !served.contains(name))
            .sorted()
            .map(name -> order("load", name, report.getTarget(), current.revision()));
    Stream<OrderRequest> unloads =
        served.stream()
            .filter(name -> !desired.contains(name))
            .sorted()
            .map(name -> order("unload", name, report.getTarget(), current.revision()));
    Stream.concat(loads, unloads)
        .findFirst()
        .ifPresent(order -> sendOrder(report.getTarget(), order));
  }

  private void sendOrder(String target, OrderRequest order) {
    if (!targetsWithOpenOrder.add(target)) {
      return;
    }
    orders
        .send(target, order)
        .whenComplete(
            (reply, failure) -> {
              targetsWithOpenOrder.remove(target);
              LogEvent event =
                  LogEvent.of("order.given")
                      .with("target", target)
                      .with("kind", order.getKind())
                      .with("model", order.getModel())
                      .with("revision", order.getFencingToken());
              logger.atInfo().log("%s", failure == null ? event : withFailure(event, failure));
            });
  }

  private static LogEvent withFailure(LogEvent event, Throwable failure) {
    Throwable cause = failure.getCause() == null ? failure : failure.getCause();
    return cause instanceof ResultException result
        ? event.code(result.code()).with("detail", result.getMessage())
        : event.with("detail", cause);
  }

  private static Set<String> desired(Placement placement) {
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

  /**
   * Creates an order whose id is derived from its content, so that an order sent twice is carried
   * out once.
   */
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
