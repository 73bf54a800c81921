package dev.ibishub.gateway.front;

import dev.ibishub.gateway.callers.CallerLimitEvent;
import dev.ibishub.gateway.callers.CallerResources;
import dev.ibishub.gateway.callers.CallerServer;
import dev.ibishub.gateway.model.CallerLimits;
import dev.ibishub.gateway.model.ServingConfiguration;
import java.util.Optional;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

/**
 * State that all requests of an entry share. Used on the platform of ibishub's users; {@code
 * dev.ibishub.entry.RequestContext} is the counterpart behind ibishub's own interface.
 *
 * @param dialect reads and writes the headers of callers and targets
 * @param configuration the configuration in force, empty while none is known
 * @param targets the known targets
 * @param budgets the retry budgets
 * @param services statistics of each service's responses
 * @param crashes detects requests that crash targets
 * @param targetLimits the request limits that targets announce
 * @param admission decides whether and when requests for model engines are sent
 * @param entries how many entries share the targets, 1 or more
 * @param stop whether and when this process stops
 * @param metrics metrics of the request path
 * @param startedAt when this process started, on the monotonic clock, milliseconds
 */
public record RequestContext(
    RequestDialect dialect,
    Supplier<Optional<ServingConfiguration>> configuration,
    TargetDirectory targets,
    RetryBudgets budgets,
    ServiceStatistics services,
    CrashDetector crashes,
    TargetLimits targetLimits,
    ServiceAdmission admission,
    IntSupplier entries,
    StopPlan stop,
    RequestMetrics metrics,
    long startedAt) {

  /** Returns the limits for callers; defaults while no configuration is known. */
  CallerLimits limits() {
    return configuration.get().map(ServingConfiguration::limits).orElse(CallerLimits.DEFAULTS);
  }

  /**
   * Creates a server for callers' requests that share this state.
   *
   * @param resources what callers may take of the process
   */
  public CallerServer newServer(CallerResources resources) {
    Runnable onUnbuffered = () -> resources.metrics().count(CallerLimitEvent.RESPONSE_UNBUFFERED);
    return new CallerServer(
        this::limits,
        (channel, memory, request, onDone) ->
            new Exchange(
                this, channel, new AttemptRelay.Buffering(memory, onUnbuffered), request, onDone),
        resources);
  }
}
