package dev.ibishub.engines;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import dev.ibishub.outbound.OutboundHttp;
import java.net.http.HttpClient;
import java.net.http.HttpHeaders;
import java.net.http.HttpResponse.BodySubscriber;
import java.net.http.HttpResponse.ResponseInfo;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Flow;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;

/**
 * Guards against passing on a truncated answer as complete. An engine crashes in the middle of an
 * answer, but a proxy ends the body regularly, so that the HTTP client reports no error.
 */
class GenerationReaderTest {
  private static final OutboundHttp.Failures FAILURES =
      new OutboundHttp.Failures(ResultCode.TARGET_UNREACHABLE, ResultCode.ENGINE_FAILED);
  private static final String FIRST = "{\"number\":0,\"text\":\"a\"}\n";
  private static final String SECOND = "{\"number\":1,\"text\":\"b\"}\n";

  private final List<String> taken = new ArrayList<>();

  @Test
  void acceptsCompleteAnswer() {
    assertThat(read(200, FIRST + SECOND + end(2))).isEqualTo(ResultCode.OK);
    assertThat(taken).containsExactly("a", "b");
  }

  @Test
  void failsWhenEndLineIsMissing() {
    assertThat(read(200, FIRST + SECOND)).isEqualTo(ResultCode.ENGINE_FAILED);
  }

  @Test
  void failsWhenEndLineCountsMorePiecesThanRead() {
    assertThat(read(200, FIRST + end(2))).isEqualTo(ResultCode.ENGINE_FAILED);
  }

  @Test
  void failsOnMissingPieceAndDropsLaterOnes() {
    assertThat(read(200, SECOND + end(2))).isEqualTo(ResultCode.ENGINE_FAILED);
    assertThat(taken).isEmpty();
  }

  @Test
  void keepsResultCodeOfRefusal() {
    assertThat(read(404, "{\"error\":\"UNKNOWN_MODEL\",\"detail\":\"\"}"))
        .isEqualTo(ResultCode.UNKNOWN_MODEL);
  }

  @Test
  void treatsRefusalWithoutCodeAsEngineFailure() {
    assertThat(read(502, "<html>bad gateway</html>")).isEqualTo(ResultCode.ENGINE_FAILED);
  }

  private static String end(int pieces) {
    return "{\"end\":{\"pieces\":" + pieces + ",\"finishReason\":\"stop\"}}\n";
  }

  private ResultCode read(int status, String body) {
    BodySubscriber<Supplier<GenerationEnd>> subscriber =
        GenerationReader.handler(0, (number, text) -> taken.add(text), FAILURES)
            .apply(new Head(status));
    subscriber.onSubscribe(new Unlimited());
    subscriber.onNext(List.of(ByteBuffer.wrap(body.getBytes(StandardCharsets.UTF_8))));
    subscriber.onComplete();
    try {
      GenerationEnd end = subscriber.getBody().toCompletableFuture().join().get();
      return end.pieces() == taken.size() ? ResultCode.OK : ResultCode.INTERNAL;
    } catch (ResultException e) {
      return e.code();
    }
  }

  private record Head(int statusCode) implements ResponseInfo {
    @Override
    public HttpHeaders headers() {
      return HttpHeaders.of(Map.of(), (name, value) -> true);
    }

    @Override
    public HttpClient.Version version() {
      return HttpClient.Version.HTTP_1_1;
    }
  }

  private static final class Unlimited implements Flow.Subscription {
    @Override
    public void request(long count) {
      // The test delivers the whole body at once.
    }

    @Override
    public void cancel() {
      // The test has no transfer to stop.
    }
  }
}
