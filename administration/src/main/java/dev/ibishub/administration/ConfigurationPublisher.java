package dev.ibishub.administration;

import dev.ibishub.core.ConfigurationChange;
import dev.ibishub.core.ConfigurationEvent;
import dev.ibishub.core.ConfigurationState;
import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import dev.ibishub.outbound.AppendOnlyLog;
import dev.ibishub.settings.ConfigurationDocument;
import dev.ibishub.settings.SettingsException;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.Collectors;

/**
 * Publishes changes of the configuration. Thread-safe.
 *
 * <p>Example: {@code publisher.publish("tbilisi", text, 41,
 * "nino").thenApply(PublishResult::revision)}.
 */
public final class ConfigurationPublisher {
  private final AppendOnlyLog log;
  private final ConfigurationFollower follower;
  private final InstantSource clock;
  private final Duration longestWait;

  private ConfigurationPublisher(
      AppendOnlyLog log,
      ConfigurationFollower follower,
      InstantSource clock,
      Duration longestWait) {
    this.log = log;
    this.follower = follower;
    this.clock = clock;
    this.longestWait = longestWait;
  }

  /**
   * Creates a publisher.
   *
   * @param log the platform's log
   * @param follower reads back what was appended; started by the caller
   * @param clock tells the time that a change carries
   * @param longestWait how long to wait for the verdict before it is given as unknown
   */
  public static ConfigurationPublisher create(
      AppendOnlyLog log,
      ConfigurationFollower follower,
      InstantSource clock,
      Duration longestWait) {
    return new ConfigurationPublisher(log, follower, clock, longestWait);
  }

  /**
   * Publishes a whole new text of the base or of an overlay.
   *
   * @param site the site whose overlay changes, or empty for the base
   * @param text the new text, JSON with comments
   * @param basedOnRevision the revision that the author saw
   * @param author the operator's name
   * @return done once the change was read back from the log as accepted, so that it will hold;
   *     fails with {@code CONFIGURATION_INVALID} (its cause is the {@link SettingsException} with
   *     all faults), {@code CONFIGURATION_CONFLICT} naming the winner, {@code REVISION_UNKNOWN},
   *     {@code NOT_READY}, {@code LOG_UNAVAILABLE}, or with {@code CONFIGURATION_UNDECIDED} naming
   *     the record, whose verdict the history will show
   */
  public CompletableFuture<PublishResult> publish(
      String site, String text, long basedOnRevision, String author) {
    ConfigurationState state = follower.state();
    try {
      requireCurrent(state, basedOnRevision);
      requireValid(state, site, text);
    } catch (ResultException e) {
      return CompletableFuture.failedFuture(e);
    }
    ConfigurationChange change =
        ConfigurationChange.of(
            UUID.randomUUID().toString(), state, site, text, author, clock.instant());
    return log.append(ConfigurationFollower.STREAM, ConfigurationCodec.encode(change))
        .handle((offset, failure) -> whenAppended(change, failure))
        .thenCompose(verdict -> verdict);
  }

  private void requireCurrent(ConfigurationState state, long basedOnRevision) {
    if (!follower.isKnown()) {
      throw new ResultException(
          ResultCode.NOT_READY,
          "this process does not know the configuration yet",
          clock.instant().plusSeconds(1));
    }
    if (basedOnRevision < state.revision()) {
      throw new ResultException(
          ResultCode.CONFIGURATION_CONFLICT, follower.winnerOver(basedOnRevision));
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
    Map<String, ConfigurationDocument.Source> overlays =
        state.overlays().entrySet().stream()
            .collect(
                Collectors.toMap(
                    Map.Entry::getKey, entry -> overlay(entry.getKey(), entry.getValue())));
    String base = site.isEmpty() ? text : state.base();
    if (!site.isEmpty()) {
      overlays.put(site, overlay(site, text));
    }
    try {
      ConfigurationDocument.parse(new ConfigurationDocument.Source("base", base), overlays);
    } catch (SettingsException e) {
      ResultException refusal =
          new ResultException(ResultCode.CONFIGURATION_INVALID, e.getMessage());
      refusal.initCause(e);
      throw refusal;
    }
  }

  private static ConfigurationDocument.Source overlay(String site, String text) {
    return new ConfigurationDocument.Source("overlay " + site, text);
  }

  /**
   * Settles an append. Guards against an answer that was lost after the append took effect: a
   * second append, or "refused", would then be wrong, and would show as a change that is in force
   * although its author was told otherwise. Only what the log shows decides.
   */
  private CompletableFuture<PublishResult> whenAppended(
      ConfigurationChange change, Throwable failure) {
    if (failure != null && codeOf(failure) == ResultCode.LOG_UNAVAILABLE) {
      return CompletableFuture.failedFuture(
          new ResultException(
              ResultCode.LOG_UNAVAILABLE,
              "the log takes no records now; nothing was changed",
              clock.instant().plusSeconds(5)));
    }
    return follower
        .whenJudged(change.recordId())
        .orTimeout(longestWait.toMillis(), TimeUnit.MILLISECONDS)
        .handle(
            (ignored, timeout) -> {
              if (timeout instanceof TimeoutException) {
                throw undecided(change);
              }
              return result(follower.event(change.recordId()).orElseThrow());
            });
  }

  private static ResultException undecided(ConfigurationChange change) {
    return new ResultException(
        ResultCode.CONFIGURATION_UNDECIDED,
        "the log has not shown record "
            + change.recordId()
            + " yet; the history will say whether it was accepted");
  }

  private static PublishResult result(ConfigurationEvent event) {
    return switch (event.result()) {
      case ACCEPTED -> new PublishResult(event.recordId(), event.revision());
      case CONFLICT ->
          throw new ResultException(
              ResultCode.CONFIGURATION_CONFLICT, "another change came first: " + event.detail());
      case CORRUPT -> throw new ResultException(ResultCode.INTERNAL, event.detail());
    };
  }

  private static ResultCode codeOf(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof ResultException result ? result.code() : ResultCode.OUTCOME_UNKNOWN;
  }
}
