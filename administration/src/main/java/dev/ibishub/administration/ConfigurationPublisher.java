package dev.ibishub.administration;

import dev.ibishub.core.ConfigurationChange;
import dev.ibishub.core.ConfigurationEvent;
import dev.ibishub.core.ConfigurationState;
import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import dev.ibishub.outbound.AppendOnlyLog;
import dev.ibishub.runtime.Timeouts;
import dev.ibishub.settings.ConfigurationDocument;
import dev.ibishub.settings.SettingsException;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeoutException;

/**
 * Publisher of configuration changes. Thread-safe.
 *
 * <p>Example: {@code publisher.publish("tbilisi", text, 41,
 * "nino").thenApply(PublishResult::revision)}.
 */
public final class ConfigurationPublisher {
  private final AppendOnlyLog log;
  private final ConfigurationFollower follower;
  private final InstantSource clock;
  private final Duration verdictTimeout;
  private final Timeouts timeouts;

  private ConfigurationPublisher(
      AppendOnlyLog log,
      ConfigurationFollower follower,
      InstantSource clock,
      Duration verdictTimeout,
      Timeouts timeouts) {
    this.log = log;
    this.follower = follower;
    this.clock = clock;
    this.verdictTimeout = verdictTimeout;
    this.timeouts = timeouts;
  }

  /**
   * Creates a publisher.
   *
   * @param log the platform's log
   * @param follower reads the appended change back from the log; started by the caller
   * @param clock the clock for the timestamps of changes
   * @param verdictTimeout how long to wait for the verdict on an appended change before it is
   *     reported as undecided
   * @param timeouts end that wait
   */
  public static ConfigurationPublisher create(
      AppendOnlyLog log,
      ConfigurationFollower follower,
      InstantSource clock,
      Duration verdictTimeout,
      Timeouts timeouts) {
    return new ConfigurationPublisher(log, follower, clock, verdictTimeout, timeouts);
  }

  /**
   * Publishes a complete new text of the base, of a site's overlay or of the {@link
   * EvacuatedZonesPart}.
   *
   * @param site the site whose overlay changes, or empty for the base
   * @param text the new text, JSON with comments
   * @param basedOnRevision the revision that the author edited
   * @param author the operator's name
   * @return completes once the change was read back from the log as accepted, and is therefore
   *     final; fails with {@code CONFIGURATION_INVALID} (its cause is the {@link SettingsException}
   *     with all faults), {@code CONFIGURATION_CONFLICT} naming the change that was accepted
   *     instead, {@code REVISION_UNKNOWN}, {@code NOT_READY}, {@code LOG_UNAVAILABLE}, or with
   *     {@code CONFIGURATION_UNDECIDED} naming the record whose verdict the history will show
   */
  public CompletableFuture<PublishResult> publish(
      String site, String text, long basedOnRevision, String author) {
    ConfigurationState state = follower.state();
    try {
      requireCurrentRevision(state, basedOnRevision);
      requireValid(state, site, text);
    } catch (ResultException e) {
      return CompletableFuture.failedFuture(e);
    }
    ConfigurationChange change =
        ConfigurationChange.of(
            UUID.randomUUID().toString(), state, site, text, author, clock.instant());
    return log.append(ConfigurationFollower.STREAM, ConfigurationCodec.encode(change))
        .handle((offset, failure) -> awaitVerdict(change, failure))
        .thenCompose(verdict -> verdict);
  }

  private void requireCurrentRevision(ConfigurationState state, long basedOnRevision) {
    if (!follower.isKnown()) {
      throw new ResultException(
          ResultCode.NOT_READY,
          "this process does not know the configuration yet",
          clock.instant().plusSeconds(1));
    }
    if (basedOnRevision < state.revision()) {
      throw new ResultException(
          ResultCode.CONFIGURATION_CONFLICT, follower.describeConflictingChange(basedOnRevision));
    }
    if (basedOnRevision > state.revision()) {
      throw new ResultException(
          ResultCode.REVISION_UNKNOWN,
          "based on revision "
              + basedOnRevision
              + ", but here "
              + state.revision()
              + " is in force");
    }
  }

  private static void requireValid(ConfigurationState state, String site, String text) {
    if (site.equals(EvacuatedZonesPart.SITE)) {
      return;
    }
    Map<String, ConfigurationDocument.Source> overlays = EvacuatedZonesPart.overlaysOfSites(state);
    String base = site.isEmpty() ? text : state.base();
    if (!site.isEmpty()) {
      overlays.put(site, new ConfigurationDocument.Source("overlay " + site, text));
    }
    try {
      ConfigurationDocument.parse(new ConfigurationDocument.Source("base", base), overlays);
    } catch (SettingsException e) {
      ResultException invalidConfiguration =
          new ResultException(ResultCode.CONFIGURATION_INVALID, e.getMessage());
      invalidConfiguration.initCause(e);
      throw invalidConfiguration;
    }
  }

  /**
   * Waits for the verdict on a change after its append completed or failed. Except for {@code
   * LOG_UNAVAILABLE}, a failed append may still have taken effect with only its answer lost.
   * Appending again or reporting a refusal would then be wrong: the change would be in force
   * although its author was told otherwise. Only reading the log decides.
   */
  private CompletableFuture<PublishResult> awaitVerdict(
      ConfigurationChange change, Throwable failure) {
    if (failure != null && resultCode(failure) == ResultCode.LOG_UNAVAILABLE) {
      return CompletableFuture.failedFuture(
          new ResultException(
              ResultCode.LOG_UNAVAILABLE,
              "the log takes no records now; nothing was changed",
              clock.instant().plusSeconds(5)));
    }
    return timeouts
        .fail(follower.whenDecided(change.recordId()), verdictTimeout.toMillis())
        .handle(
            (ignored, timeout) -> {
              if (timeout instanceof TimeoutException) {
                throw undecided(change);
              }
              return toPublishResult(follower.event(change.recordId()).orElseThrow());
            });
  }

  private static ResultException undecided(ConfigurationChange change) {
    return new ResultException(
        ResultCode.CONFIGURATION_UNDECIDED,
        "the log has not shown record "
            + change.recordId()
            + " yet; the history will say whether it was accepted");
  }

  private static PublishResult toPublishResult(ConfigurationEvent event) {
    return switch (event.result()) {
      case ACCEPTED -> new PublishResult(event.recordId(), event.revision());
      case CONFLICT ->
          throw new ResultException(
              ResultCode.CONFIGURATION_CONFLICT, "another change came first: " + event.detail());
      case CORRUPT -> throw new ResultException(ResultCode.INTERNAL, event.detail());
    };
  }

  private static ResultCode resultCode(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof ResultException resultException
        ? resultException.code()
        : ResultCode.OUTCOME_UNKNOWN;
  }
}
