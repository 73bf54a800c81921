package dev.ibishub.administration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import dev.ibishub.administration.FakeLog.AppendFault;
import dev.ibishub.core.Configuration;
import dev.ibishub.core.ConfigurationEvent;
import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import dev.ibishub.settings.SettingsException;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class ConfigurationPublisherTest {
  private static final Instant NOW = Instant.parse("2026-03-02T22:00:00Z");
  private static final Duration LONG = Duration.ofMinutes(1);
  private static final Duration SHORT = Duration.ofMillis(50);
  private static final String SITES =
      "{\"sites\": [{\"name\": \"tbilisi\", \"zones\": [\"vake\"]}]}";

  private final FakeLog log = new FakeLog();
  private final ConfigurationFollower one = started();
  private final ConfigurationFollower two = started();

  private ConfigurationFollower started() {
    ConfigurationFollower follower =
        ConfigurationFollower.create(log, "tbilisi", ConfigurationFollower.Options.defaults());
    CompletableFuture<Configuration> known = new CompletableFuture<>();
    follower.addListener(known::complete);
    follower.start();
    known.join();
    return follower;
  }

  @AfterEach
  void close() {
    one.close();
    two.close();
  }

  private ConfigurationPublisher publisher(ConfigurationFollower follower, Duration longestWait) {
    return ConfigurationPublisher.create(log, follower, () -> NOW, longestWait);
  }

  private static ResultException failure(CompletableFuture<?> future) {
    return (ResultException)
        catchThrowableOfType(CompletionException.class, future::join).getCause();
  }

  @Test
  void acceptedChangeIsInForceAtEveryFollower() {
    CompletableFuture<Configuration> seen = new CompletableFuture<>();
    two.addListener(
        configuration -> {
          if (configuration.revision() == 1) {
            seen.complete(configuration);
          }
        });

    PublishResult result = publisher(one, LONG).publish("", SITES, 0, "nino").join();

    assertThat(result.revision()).isEqualTo(1);
    assertThat(one.current().zones()).containsExactly("vake");
    assertThat(seen.join().zones()).containsExactly("vake");
  }

  /**
   * Two operators publish on top of revision 0 through two entries. The second one's entry has read
   * the first one's change, or not yet; either way the second is told who won.
   */
  @Test
  void loserOfRaceIsToldWhoWon() {
    publisher(one, LONG).publish("", SITES, 0, "nino").join();
    two.whenJudged(one.state().recordId()).join();

    ResultException refused =
        failure(publisher(two, LONG).publish("", "{\"sites\": []}", 0, "arun"));

    assertThat(refused.code()).isEqualTo(ResultCode.CONFIGURATION_CONFLICT);
    assertThat(refused).hasMessageContaining("revision 1 by nino at 2026-03-02T22:00:00Z");
  }

  /**
   * The log takes the record but its answer is lost. Saying "refused", or appending again, would be
   * wrong; the publisher finds its own record when it reads on.
   */
  @Test
  void lostAnswerOfTheLogIsSettledByReading() {
    log.failAppends(AppendFault.ANSWER_LOST);

    PublishResult result = publisher(one, LONG).publish("", SITES, 0, "nino").join();

    assertThat(result.revision()).isEqualTo(1);
    assertThat(one.events()).hasSize(1);
  }

  @Test
  void recordThatNeverShowsIsUndecidedAndNamed() {
    log.failAppends(AppendFault.RECORD_AND_ANSWER_LOST);

    ResultException undecided = failure(publisher(one, SHORT).publish("", SITES, 0, "nino"));

    assertThat(undecided.code()).isEqualTo(ResultCode.CONFIGURATION_UNDECIDED);
    assertThat(undecided).hasMessageContaining("record ");
  }

  /**
   * The log goes down just after it took the record, before the publisher has read it back. The
   * change may hold or not, so neither "accepted" nor "refused" may be said; when the log is back
   * the history has the verdict under the record's name.
   */
  @Test
  void outageBeforeReadingBackIsUndecidedUntilTheLogReturns() {
    log.readable(false);
    ResultException undecided = failure(publisher(one, SHORT).publish("", SITES, 0, "nino"));
    assertThat(undecided.code()).isEqualTo(ResultCode.CONFIGURATION_UNDECIDED);

    log.readable(true);
    String recordId = undecided.getMessage().replaceAll(".*record ([^ ]+) .*", "$1");
    one.whenJudged(recordId).join();

    assertThat(one.event(recordId).map(ConfigurationEvent::result))
        .contains(ConfigurationEvent.Result.ACCEPTED);
  }

  @Test
  void refusedAppendChangesNothing() {
    log.failAppends(AppendFault.REFUSED);

    ResultException refused = failure(publisher(one, LONG).publish("", SITES, 0, "nino"));

    assertThat(refused.code()).isEqualTo(ResultCode.LOG_UNAVAILABLE);
    assertThat(refused.retryAt()).isPresent();
  }

  @Test
  void invalidTextIsRefusedWithAllFaultsAndNotAppended() {
    ResultException refused =
        failure(publisher(one, LONG).publish("", "{\"site\": [], \"models\": 3}", 0, "nino"));

    assertThat(refused.code()).isEqualTo(ResultCode.CONFIGURATION_INVALID);
    assertThat(((SettingsException) refused.getCause()).faults()).hasSize(2);
    assertThat(one.digest().stateOffset()).isZero();
  }

  /** A process started in an outage of the log must still learn what its peers know. */
  @Test
  void processStartedInAnOutageLearnsFromPeer() {
    publisher(one, LONG).publish("", SITES, 0, "nino").join();
    log.readable(false);
    ConfigurationFollower fresh =
        ConfigurationFollower.create(log, "tbilisi", ConfigurationFollower.Options.defaults());
    assertThat(fresh.isKnown()).isFalse();

    fresh.offer(one.transfer());

    assertThat(fresh.current()).isEqualTo(one.current());
    assertThat(fresh.digest()).isEqualTo(one.digest());
  }

  /**
   * Retention takes every record of a change, and only then does a process start. Without the
   * snapshot that another process appended in time it would never know the configuration again.
   */
  @Test
  void snapshotInTimeOutlivesTheRecordsOfTheChange() {
    publisher(one, LONG).publish("", SITES, 0, "nino").join();
    ConfigurationSnapshots snapshots =
        ConfigurationSnapshots.create(log, one, "e1", () -> List.of("e1"), Duration.ofDays(1));

    assertThat(snapshots.appendIfDue().join()).isTrue();
    log.keepFrom(1);
    ConfigurationFollower fresh = started();

    assertThat(fresh.current()).isEqualTo(one.current());
    fresh.close();
  }
}
