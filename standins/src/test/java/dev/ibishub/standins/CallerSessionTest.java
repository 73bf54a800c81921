package dev.ibishub.standins;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import dev.ibishub.core.ResultCode;
import dev.ibishub.outbound.OutboundHttp;
import dev.ibishub.outbound.OutboundJson;
import java.io.IOException;
import java.io.OutputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.zip.CRC32C;
import joptsimple.OptionSet;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class CallerSessionTest {
  private static final String NOT_RUN =
      "{\"resultCode\":2002,\"outcome\":\"not run\",\"detail\":\"full\"}";

  private final ExecutorService executor = Executors.newCachedThreadPool();
  private final AtomicInteger sent = new AtomicInteger();

  @AfterEach
  void stop() {
    executor.shutdownNow();
  }

  @Test
  void reportsWholeAnswerAsDone() throws Exception {
    CallerSession.Ending ending = run(request -> stream(answer(request), 0, 5, true));
    assertThat(ending.outcome()).isEqualTo(CallerSession.Outcome.DONE);
    assertThat(ending.chunkNanos()).hasSize(5);
  }

  @Test
  void reportsDuplicateChunkAsBreach() throws Exception {
    CallerSession.Ending ending = run(request -> twoParts(request, 3, 2));
    assertThat(ending.outcome()).isEqualTo(CallerSession.Outcome.BREACH);
    assertThat(ending.detail()).contains("duplicate");
  }

  @Test
  void reportsMissingChunkAsBreach() throws Exception {
    CallerSession.Ending ending = run(request -> twoParts(request, 2, 3));
    assertThat(ending.detail()).contains("partial");
  }

  @Test
  void reportsAnswerOfAnotherCallerAsBreach() throws Exception {
    CallerSession.Ending ending =
        run(request -> stream(List.of("not", "this", "caller's", "own", "answer"), 0, 5, true));
    assertThat(ending.outcome()).isEqualTo(CallerSession.Outcome.BREACH);
    assertThat(ending.detail()).contains("wrong");
  }

  /**
   * The entry dies in mid-stream: the caller resumes the same answer and doesn't send the request
   * again.
   */
  @Test
  void resumesBrokenStream() throws Exception {
    CallerSession.Ending ending =
        run(
            request ->
                request.method().equals("GET")
                    ? stream(answerOfNumberZero(), (int) request.number("from", 0), 5, true)
                    : stream(answer(request), 0, 2, false));
    assertThat(ending.outcome()).isEqualTo(CallerSession.Outcome.DONE);
    assertThat(ending.resumes()).isEqualTo(1);
    assertThat(ending.attempts()).isEqualTo(1);
  }

  @Test
  void retriesRequestThatWasRefusedAsNotRun() throws Exception {
    CallerSession.Ending ending =
        run(
            request ->
                sent.incrementAndGet() == 1
                    ? refusal().withHeader("Retry-After", "0.01")
                    : stream(answer(request), 0, 5, true));
    assertThat(ending.outcome()).isEqualTo(CallerSession.Outcome.DONE);
    assertThat(ending.attempts()).isEqualTo(2);
  }

  /**
   * Guards against reporting "not run" when an earlier attempt may have run. The first attempt
   * breaks before its request id is known; every later one is refused as not run.
   */
  @Test
  void reportsOutcomeUnknownWhenRefusalsFollowBrokenAttempt() throws Exception {
    CallerSession.Ending ending =
        run(
            request -> {
              if (sent.incrementAndGet() == 1) {
                throw new IOException("cut before an answer");
              }
              return refusal();
            });
    assertThat(ending.outcome()).isEqualTo(CallerSession.Outcome.OUTCOME_UNKNOWN);
  }

  @Test
  void reportsNotRunWhenEveryAttemptIsRefused() throws Exception {
    CallerSession.Ending ending = run(request -> refusal());
    assertThat(ending.outcome()).isEqualTo(CallerSession.Outcome.NOT_RUN);
    assertThat(ending.resultCode()).isEqualTo(2002);
  }

  private CallerSession.Ending run(StandInServer.Handler entry) throws Exception {
    try (StandInServer server =
        StandInServer.start("127.0.0.1", 0, new FaultInjector(), withoutAddresses(entry))) {
      URI base = URI.create("http://127.0.0.1:" + server.address().getPort());
      LoadOptions options = options(base);
      HttpClient client = OutboundHttp.newClient(executor);
      PlannedRequest request = LoadPlan.create(options).next().orElseThrow();
      CallerSession session =
          new CallerSession(
              request,
              new EntryClient(client, options),
              new EntryAddresses(client, List.of(base)),
              options,
              System.nanoTime());
      return session.run();
    }
  }

  private static StandInServer.Handler withoutAddresses(StandInServer.Handler entry) {
    return request ->
        request.is("GET", "/v1/addresses")
            ? StandInReply.refusal(ResultCode.NOT_FOUND, "no addresses")
            : entry.handle(request);
  }

  private static LoadOptions options(URI base) {
    OptionSet parsed =
        LoadOptions.parser()
            .parse(
                "--entries",
                base.toString(),
                "--whole-share",
                "0",
                "--chat-share",
                "0",
                "--answer-tokens",
                "5",
                "--retries",
                "3");
    return LoadOptions.of(parsed);
  }

  private static StandInReply refusal() {
    return new StandInReply(
        503, Map.of(), NOT_RUN.getBytes(StandardCharsets.UTF_8), Optional.empty());
  }

  private static List<String> answer(StandInRequest request) throws IOException {
    JsonNode body = OutboundJson.readTree(request.body());
    return ExpectedAnswer.tokens(body.path("model").asText(), body);
  }

  private List<String> answerOfNumberZero() throws IOException {
    PlannedRequest request =
        LoadPlan.create(options(URI.create("http://127.0.0.1"))).next().orElseThrow();
    return ExpectedAnswer.tokens("dictionary", request.body().orElseThrow());
  }

  /** Writes the chunks before {@code to}, then those from {@code from} on, then the end. */
  private static StandInReply twoParts(StandInRequest request, int to, int from) {
    return StandInReply.streamed(
        out -> {
          writeChunks(out, answer(request), 0, to);
          writeChunks(out, answer(request), from, 5);
          writeEnd(out, answer(request));
        });
  }

  private static StandInReply stream(List<String> tokens, int from, int to, boolean whole) {
    return StandInReply.streamed(
            out -> {
              writeChunks(out, tokens, from, to);
              if (!whole) {
                throw new IOException("cut");
              }
              writeEnd(out, tokens);
            })
        .withHeader("Ibishub-Stream", "s1");
  }

  private static void writeChunks(OutputStream out, List<String> tokens, int from, int to)
      throws IOException {
    for (int number = from; number < to; number++) {
      String text = new String(OutboundJson.write(tokens.get(number)), StandardCharsets.UTF_8);
      write(out, "id: " + number + "\ndata: {\"choices\":[{\"text\":" + text + "}]}\n\n");
    }
  }

  private static void writeEnd(OutputStream out, List<String> tokens) throws IOException {
    CRC32C checksum = new CRC32C();
    checksum.update(String.join("", tokens).getBytes(StandardCharsets.UTF_8));
    String end =
        String.format(
            "event: end\ndata: {\"chunks\":%d,\"checksum\":%d,\"resultCode\":0}\n\n",
            tokens.size(), checksum.getValue());
    write(out, end + "data: [DONE]\n\n");
  }

  private static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.UTF_8));
    out.flush();
  }
}
