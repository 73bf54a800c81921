package dev.ibishub.standins;

import static dev.ibishub.standins.StandInFixture.codeOf;
import static dev.ibishub.standins.StandInFixture.failureOf;
import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import dev.ibishub.outbound.AppendOnlyLog;
import dev.ibishub.outbound.HttpAppendOnlyLog;
import dev.ibishub.outbound.LogPage;
import dev.ibishub.outbound.LogRecord;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class AppendOnlyLogTest {
  private static final String STREAM = "configuration/tbilisi";

  @Test
  void incrementsOffsetsPerStream() throws Exception {
    try (StandInFixture fixture = StandInFixture.start("log")) {
      AppendOnlyLog log = HttpAppendOnlyLog.create(fixture.base(), fixture.client());
      assertThat(log.append(STREAM, bytes("a")).join()).isEqualTo(0);
      assertThat(log.append(STREAM, bytes("b")).join()).isEqualTo(1);
      assertThat(log.append("other", bytes("c")).join()).isEqualTo(0);
      assertThat(texts(read(log, 1))).containsExactly("b");
    }
  }

  @Test
  void advancesFirstKeptRecordByRetention() throws Exception {
    try (StandInFixture fixture = StandInFixture.start("log", "--retained-records", "2")) {
      AppendOnlyLog log = HttpAppendOnlyLog.create(fixture.base(), fixture.client());
      List.of("a", "b", "c").forEach(text -> log.append(STREAM, bytes(text)).join());
      LogPage page = read(log, 0);
      assertThat(page.firstKept()).isEqualTo(1);
      assertThat(page.nextOffset()).isEqualTo(3);
      assertThat(texts(page)).containsExactly("b", "c");
    }
  }

  @Test
  void completesWaitingReadWhenRecordIsAppended() throws Exception {
    try (StandInFixture fixture = StandInFixture.start("log")) {
      AppendOnlyLog log = HttpAppendOnlyLog.create(fixture.base(), fixture.client());
      CompletableFuture<LogPage> waiting = log.read(STREAM, 0, 10, Instant.now().plusSeconds(60));
      log.append(STREAM, bytes("a")).join();
      assertThat(texts(waiting.join())).containsExactly("a");
    }
  }

  /**
   * Guards against appending a record twice. The log appends the record but its answer is lost; the
   * result must be "outcome unknown", and only a read shows the record.
   */
  @Test
  void reportsOutcomeUnknownWhenAnswerToAppendIsLost() throws Exception {
    try (StandInFixture fixture = StandInFixture.start("log")) {
      AppendOnlyLog log = HttpAppendOnlyLog.create(fixture.base(), fixture.client());
      fixture.inject(Faults.none().withLoseNextAnswers(1));
      assertThat(codeOf(log.append(STREAM, bytes("a")))).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
      assertThat(texts(read(log, 0))).containsExactly("a");
    }
  }

  /**
   * Guards against a refused record that appears later. During an outage the append is refused;
   * after it the record must not be in the log.
   */
  @Test
  void refusesAppendDuringOutageAndAppendsNothing() throws Exception {
    try (StandInFixture fixture = StandInFixture.start("log")) {
      AppendOnlyLog log = HttpAppendOnlyLog.create(fixture.base(), fixture.client());
      fixture.inject(new Faults(true, false, 0, 0, 0, 0, 0));
      ResultException failure = failureOf(log.append(STREAM, bytes("a")));
      assertThat(failure.code()).isEqualTo(ResultCode.LOG_UNAVAILABLE);
      assertThat(failure.retryAt()).isPresent();
      fixture.inject(Faults.none());
      assertThat(read(log, 0).nextOffset()).isZero();
    }
  }

  @Test
  void reportsLogUnavailableWhenNothingListens() throws Exception {
    try (StandInFixture fixture = StandInFixture.start("log")) {
      AppendOnlyLog log =
          HttpAppendOnlyLog.create(StandInFixture.unusedAddress(), fixture.client());
      assertThat(codeOf(log.append(STREAM, bytes("a")))).isEqualTo(ResultCode.LOG_UNAVAILABLE);
    }
  }

  @Test
  void refusesAppendsBeyondRateAndDoesNotAppendThem() throws Exception {
    try (StandInFixture fixture =
        StandInFixture.start("log", "--appends-per-second", "1", "--burst", "1")) {
      AppendOnlyLog log = HttpAppendOnlyLog.create(fixture.base(), fixture.client());
      List<CompletableFuture<Long>> appends =
          IntStream.range(0, 20).mapToObj(number -> log.append(STREAM, bytes("a"))).toList();
      List<ResultCode> codes = appends.stream().map(StandInFixture::codeOf).toList();
      long accepted = codes.stream().filter(ResultCode.OK::equals).count();
      assertThat(codes).contains(ResultCode.LOG_UNAVAILABLE);
      assertThat(read(log, 0).nextOffset()).isEqualTo(accepted);
    }
  }

  private static LogPage read(AppendOnlyLog log, long from) {
    return log.read(STREAM, from, 10, Instant.now()).join();
  }

  private static List<String> texts(LogPage page) {
    return page.records().stream()
        .map(LogRecord::payload)
        .map(payload -> new String(payload, StandardCharsets.UTF_8))
        .toList();
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
