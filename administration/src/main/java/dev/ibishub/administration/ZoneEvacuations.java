package dev.ibishub.administration;

import dev.ibishub.core.ConfigurationState;
import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.BiConsumer;

/**
 * Takes zones out of service and restores them, by changes of the {@link EvacuatedZonesPart} on the
 * log. Thread-safe.
 */
final class ZoneEvacuations {
  /**
   * Number of times that a change is based on a newer revision because another change came first.
   * Changes are far rarer than the fraction of a second that one takes.
   */
  private static final int MAXIMUM_TRIES = 5;

  private final ConfigurationFollower follower;
  private final ConfigurationPublisher publisher;

  ZoneEvacuations(ConfigurationFollower follower, ConfigurationPublisher publisher) {
    this.follower = follower;
    this.publisher = publisher;
  }

  /**
   * Takes a zone out of service. Does nothing if it is evacuated already.
   *
   * @param operator the name of the operator
   * @return completes with the revision from which the zone is evacuated, once that was read back
   *     from the log; fails as {@link ConfigurationPublisher#publish} does
   */
  CompletableFuture<PublishResult> evacuate(String zone, String operator) {
    return change(zone, Set::add, operator, MAXIMUM_TRIES);
  }

  /** Restores a zone; the counterpart of {@link #evacuate}. */
  CompletableFuture<PublishResult> restore(String zone, String operator) {
    return change(zone, Set::remove, operator, MAXIMUM_TRIES);
  }

  private CompletableFuture<PublishResult> change(
      String zone, BiConsumer<Set<String>, String> change, String operator, int triesLeft) {
    ConfigurationState state = follower.state();
    Set<String> zones = new TreeSet<>(EvacuatedZonesPart.zones(state));
    change.accept(zones, zone);
    if (follower.isKnown() && zones.equals(EvacuatedZonesPart.zones(state))) {
      return CompletableFuture.completedFuture(
          new PublishResult(state.recordId(), state.revision()));
    }
    return publisher
        .publish(
            EvacuatedZonesPart.SITE, EvacuatedZonesPart.text(zones), state.revision(), operator)
        .exceptionallyCompose(
            failure ->
                triesLeft > 1 && isConflict(failure)
                    ? change(zone, change, operator, triesLeft - 1)
                    : CompletableFuture.failedFuture(failure));
  }

  private static boolean isConflict(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof ResultException result
        && result.code() == ResultCode.CONFIGURATION_CONFLICT;
  }
}
