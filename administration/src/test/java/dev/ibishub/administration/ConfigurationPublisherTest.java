package dev.ibishub.administration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import dev.ibishub.administration.FakeLog.AppendFault;
import dev.ibishub.core.Configuration;
import dev.ibishub.core.ConfigurationEvent;
import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import dev.ibishub.runtime.Timeouts;
import dev.ibishub.settings.SettingsException;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Consumer;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class ConfigurationPublisherTest {
  private static final Instant NOW = Instant.parse("2026-03-02T22:00:00Z");
  private static final Duration LONG_TIMEOUT = Duration.ofMinutes(1);
  private static final Duration SHORT_TIMEOUT = Duration.ofMillis(50);
  private static final Duration TEST_TIMEOUT = Duration.ofSeconds(20);
  private static final String SITES =
      "{\"sites\": [{\"name\": \"tbilisi\", \"zones\": [\"vake\"]}]}";

  private final ScheduledExecutorService timers = Executors.newSingleThreadScheduledExecutor();
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final FakeLog log = new FakeLog();
  private final ConfigurationFollower firstFollower = startFollower();
  private final ConfigurationFollower secondFollower = startFollower();

  private ConfigurationFollower startFollower() {
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
    firstFollower.close();
    secondFollower.close();
    timers.shutdownNow();
    threads.shutdownNow();
  }

  private ConfigurationPublisher publisher(
      ConfigurationFollower follower, Duration verdictTimeout) {
    return ConfigurationPublisher.create(
        log, follower, () -> NOW, verdictTimeout, Timeouts.on(timers, threads));
  }

  private static ResultException failure(CompletableFuture<?> future) {
    return (ResultException)
        catchThrowableOfType(CompletionException.class, future::join).getCause();
  }

  @Test
  void appliesAcceptedChangeAtEveryFollower() {
    CompletableFuture<Configuration> received = new CompletableFuture<>();
    secondFollower.addListener(
        configuration -> {
          if (configuration.revision() == 1) {
            received.complete(configuration);
          }
        });

    PublishResult result =
        publisher(firstFollower, LONG_TIMEOUT).publish("", SITES, 0, "nino").join();

    assertThat(result.revision()).isEqualTo(1);
    assertThat(firstFollower.current().zones()).containsExactly("vake");
    assertThat(received.join().zones()).containsExactly("vake");
  }

  /**
   * Two operators publish changes based on revision 0 through two entries. The later one must be
   * refused with the name of the operator whose change was accepted.
   */
  @Test
  void refusesConflictingChangeAndNamesAcceptedOne() {
    publisher(firstFollower, LONG_TIMEOUT).publish("", SITES, 0, "nino").join();
    secondFollower.whenDecided(firstFollower.state().recordId()).join();

    ResultException refused =
        failure(publisher(secondFollower, LONG_TIMEOUT).publish("", "{\"sites\": []}", 0, "arun"));

    assertThat(refused.code()).isEqualTo(ResultCode.CONFIGURATION_CONFLICT);
    assertThat(refused).hasMessageContaining("revision 1 by nino at 2026-03-02T22:00:00Z");
  }

  /**
   * The log appends the record but its answer is lost. Reporting a refusal or appending again would
   * be wrong; the publisher must find its own record by reading the log.
   */
  @Test
  void reportsAcceptedChangeWhenAnswerOfAppendIsLost() {
    log.setAppendFault(AppendFault.ANSWER_LOST);

    PublishResult result =
        publisher(firstFollower, LONG_TIMEOUT).publish("", SITES, 0, "nino").join();

    assertThat(result.revision()).isEqualTo(1);
    assertThat(firstFollower.events()).hasSize(1);
  }

  // Guards against a configuration that reverts, or that is reported as accepted although no
  // process reads it, because the log came back from an older copy against its contract.
  @Test
  void keepsConfigurationAndReportsLogThatWentBack() {
    CompletableFuture<String> reported = new CompletableFuture<>();
    Handler handler = new MessageHandler(reported::complete);
    Logger.getLogger(ConfigurationFollower.class.getName()).addHandler(handler);
    ConfigurationPublisher publisher = publisher(firstFollower, SHORT_TIMEOUT);
    publisher(firstFollower, LONG_TIMEOUT).publish("", SITES, 0, "nino").join();
    log.loseLastRecord();
    assertThat(reported)
        .succeedsWithin(TEST_TIMEOUT)
        .asString()
        .contains("event=configuration_log_went_back end=0 read=1");
    Logger.getLogger(ConfigurationFollower.class.getName()).removeHandler(handler);

    ResultException undecided = failure(publisher.publish("", "{\"sites\": []}", 1, "arun"));

    assertThat(undecided.code()).isEqualTo(ResultCode.CONFIGURATION_UNDECIDED);
    assertThat(firstFollower.current().zones()).containsExactly("vake");
    assertThat(firstFollower.state().revision()).isEqualTo(1);
  }

  /** Passes on the messages of the log. */
  private static final class MessageHandler extends Handler {
    private final Consumer<String> consumer;

    MessageHandler(Consumer<String> consumer) {
      this.consumer = consumer;
    }

    @Override
    public void publish(LogRecord record) {
      consumer.accept(record.getMessage());
    }

    @Override
    public void flush() {}

    @Override
    public void close() {}
  }

  @Test
  void reportsUndecidedAndNamesRecordThatNeverAppears() {
    log.setAppendFault(AppendFault.RECORD_AND_ANSWER_LOST);

    ResultException undecided =
        failure(publisher(firstFollower, SHORT_TIMEOUT).publish("", SITES, 0, "nino"));

    assertThat(undecided.code()).isEqualTo(ResultCode.CONFIGURATION_UNDECIDED);
    assertThat(undecided).hasMessageContaining("record ");
  }

  /**
   * The log fails after it appended the record and before the publisher has read it back. Whether
   * the change is accepted is unknown, so neither acceptance nor refusal may be reported; once the
   * log is back, the history must have the verdict under the record's id.
   */
  @Test
  void reportsUndecidedDuringOutageAndVerdictAfterLogReturns() {
    log.setReadable(false);
    ResultException undecided =
        failure(publisher(firstFollower, SHORT_TIMEOUT).publish("", SITES, 0, "nino"));
    assertThat(undecided.code()).isEqualTo(ResultCode.CONFIGURATION_UNDECIDED);

    log.setReadable(true);
    String recordId = undecided.getMessage().replaceAll(".*record ([^ ]+) .*", "$1");
    firstFollower.whenDecided(recordId).join();

    assertThat(firstFollower.event(recordId).map(ConfigurationEvent::result))
        .contains(ConfigurationEvent.Result.ACCEPTED);
  }

  @Test
  void reportsLogUnavailableAndRetryTimeWhenAppendIsRefused() {
    log.setAppendFault(AppendFault.REFUSED);

    ResultException refused =
        failure(publisher(firstFollower, LONG_TIMEOUT).publish("", SITES, 0, "nino"));

    assertThat(refused.code()).isEqualTo(ResultCode.LOG_UNAVAILABLE);
    assertThat(refused.retryAt()).isPresent();
  }

  @Test
  void refusesInvalidTextWithAllFaultsAndAppendsNothing() {
    ResultException refused =
        failure(
            publisher(firstFollower, LONG_TIMEOUT)
                .publish("", "{\"site\": [], \"models\": 3}", 0, "nino"));

    assertThat(refused.code()).isEqualTo(ResultCode.CONFIGURATION_INVALID);
    assertThat(((SettingsException) refused.getCause()).faults()).hasSize(2);
    assertThat(firstFollower.digest().stateOffset()).isZero();
  }

  /** A process started during an outage of the log must learn the configuration from a peer. */
  @Test
  void learnsConfigurationFromPeerDuringLogOutage() {
    publisher(firstFollower, LONG_TIMEOUT).publish("", SITES, 0, "nino").join();
    log.setReadable(false);
    ConfigurationFollower newFollower =
        ConfigurationFollower.create(log, "tbilisi", ConfigurationFollower.Options.defaults());
    assertThat(newFollower.isKnown()).isFalse();

    newFollower.acceptPeerSnapshot(firstFollower.encodeSnapshot());

    assertThat(newFollower.current()).isEqualTo(firstFollower.current());
    assertThat(newFollower.digest()).isEqualTo(firstFollower.digest());
  }

  /**
   * The log's retention deletes every record of a change before a process starts. Without the
   * snapshot that another process appended in time, it would never learn the configuration.
   */
  @Test
  void newProcessLearnsConfigurationFromSnapshotAfterRecordsAreDeleted() {
    publisher(firstFollower, LONG_TIMEOUT).publish("", SITES, 0, "nino").join();
    ConfigurationSnapshotWriter snapshots =
        ConfigurationSnapshotWriter.create(
            log, firstFollower, "e1", () -> List.of("e1"), Duration.ofDays(1));

    assertThat(snapshots.appendIfDue().join()).isTrue();
    log.dropRecordsBefore(1);
    ConfigurationFollower newFollower = startFollower();

    assertThat(newFollower.current()).isEqualTo(firstFollower.current());
    newFollower.close();
  }

  // Guards against an operator who reads slowly and keeps the calls of all others from their end:
  // what follows one timeout ran on the thread of all timeouts.
  @Test
  void operatorThatBlocksKeepsNoOtherCallWaiting() throws InterruptedException {
    log.setReadable(false);
    CountDownLatch released = new CountDownLatch(1);
    CountDownLatch blocks = new CountDownLatch(1);
    ConfigurationPublisher publisher = publisher(firstFollower, SHORT_TIMEOUT);
    publisher
        .publish("", SITES, 0, "nino")
        .whenComplete(
            (result, failure) -> {
              blocks.countDown();
              await(released);
            });
    await(blocks);

    try {
      assertThat(publisher.publish("", SITES, 0, "arun"))
          .failsWithin(TEST_TIMEOUT)
          .withThrowableThat()
          .havingCause()
          .isInstanceOf(ResultException.class);
    } finally {
      released.countDown();
    }
  }

  // Guards against a follower that stands still for good: a listener waits for a lock whose holder
  // adds a listener.
  @Test
  void holderOfLockThatListenerTakesMayAddListener() {
    CountDownLatch isTold = new CountDownLatch(1);
    Object lock = new Object();
    secondFollower.addListener(configuration -> onRevisionOne(configuration, isTold, lock));

    assertThat(
            withLockWhileTold(lock, isTold, () -> secondFollower.addListener(configuration -> {})))
        .succeedsWithin(TEST_TIMEOUT);
  }

  // Guards against the same where the listener is that for evacuations.
  @Test
  void holderOfLockThatEvacuationListenerTakesMayAskFollower() {
    CountDownLatch isTold = new CountDownLatch(1);
    Object lock = new Object();
    secondFollower.addEvacuationListener(zones -> tell(isTold, lock));

    assertThat(withLockWhileTold(lock, isTold, secondFollower::isKnown))
        .succeedsWithin(TEST_TIMEOUT);
  }

  private static void onRevisionOne(Configuration configuration, CountDownLatch told, Object lock) {
    if (configuration.revision() == 1) {
      tell(told, lock);
    }
  }

  private static void tell(CountDownLatch isTold, Object lock) {
    isTold.countDown();
    synchronized (lock) {
      isTold.countDown();
    }
  }

  /** Evacuates a zone, and calls while a listener waits for a lock that the caller holds. */
  private CompletableFuture<Void> withLockWhileTold(
      Object lock, CountDownLatch isTold, Runnable call) {
    return CompletableFuture.runAsync(
        () -> {
          synchronized (lock) {
            ConfigurationPublisher publisher = publisher(firstFollower, LONG_TIMEOUT);
            publisher.publish(
                EvacuatedZonesPart.SITE, EvacuatedZonesPart.text(List.of("vake")), 0, "nino");
            await(isTold);
            call.run();
          }
        },
        threads);
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
