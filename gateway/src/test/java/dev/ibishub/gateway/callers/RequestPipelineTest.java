package dev.ibishub.gateway.callers;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.gateway.model.CallerLimits;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class RequestPipelineTest {
  private static final CallerLimits LIMITS = new CallerLimits(4_000, 100, 3_000, 60_000);

  private final RequestPipeline pipeline = new RequestPipeline();

  private static RequestPipeline.Run run(FullHttpRequest request) {
    ConnectionMemory memory = new CallerMemory(() -> 0).open(() -> {});
    return new RequestPipeline.Run(request, new RequestMemory(memory, true));
  }

  private static FullHttpRequest request(int bytes) {
    return new DefaultFullHttpRequest(
        HttpVersion.HTTP_1_1, HttpMethod.POST, "/", Unpooled.wrappedBuffer(new byte[bytes]));
  }

  // Guards against requests in a row that fill the memory.
  @Test
  void numberOfWaitingRequestsIsBounded() {
    IntStream.range(0, RequestPipeline.MAXIMUM_WAITING)
        .forEach(number -> pipeline.add(run(request(0))));

    assertThat(pipeline.hasRoomFor(0, LIMITS)).isFalse();

    pipeline.poll();

    assertThat(pipeline.hasRoomFor(0, LIMITS)).isTrue();
  }

  // Guards against bodies in a row that fill the memory.
  @Test
  void bytesOfWaitingRequestsAreBounded() {
    pipeline.add(run(request(60)));

    assertThat(pipeline.hasRoomFor(40, LIMITS)).isTrue();
    assertThat(pipeline.hasRoomFor(41, LIMITS)).isFalse();

    pipeline.poll();

    assertThat(pipeline.hasRoomFor(100, LIMITS)).isTrue();
  }

  // Guards against requests whose memory is not released as their caller leaves.
  @Test
  void clearReleasesWhatWaits() {
    FullHttpRequest waiting = request(60);
    pipeline.add(run(waiting));
    pipeline.clear();

    assertThat(waiting.refCnt()).isZero();
    assertThat(pipeline.isEmpty()).isTrue();
    assertThat(pipeline.hasRoomFor(100, LIMITS)).isTrue();
  }
}
