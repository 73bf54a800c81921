package dev.ibishub.core;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

class StreamBuffersTest {
  private final StreamBuffers buffers = StreamBuffers.create(10, 2);

  @Test
  void readsChunksFromAnyKeptPosition() {
    StreamBuffer buffer = bufferWithChunks("a", 3, 1);

    assertThat(buffer.read(1, 10)).extracting(NumberedChunk::number).containsExactly(1L, 2L);
    assertThat(buffer.read(0, 1)).extracting(NumberedChunk::number).containsExactly(0L);
    assertThat(buffer.read(3, 10)).isEmpty();
  }

  @Test
  void endsWithTotalsThatAssemblerAccepts() {
    StreamBuffer buffer = bufferWithChunks("a", 3, 1);
    buffer.end(AnswerEnd.success(7));
    AnswerAssembler answer = AnswerAssembler.forAttempt("a", 10);

    buffer.read(0, 10).forEach(chunk -> answer.accept("a", chunk.number(), chunk.data()));

    assertThat(answer.end("a", buffer.ending().orElseThrow())).contains(ResultCode.OK);
  }

  @Test
  void refusesGapAndAppendAfterEnd() {
    StreamBuffer buffer = bufferWithChunks("a", 1, 1);

    assertThatThrownBy(() -> buffer.append(2, new byte[1]))
        .isInstanceOf(IllegalStateException.class);
    buffer.end(AnswerEnd.success(1));
    assertThatThrownBy(() -> buffer.append(1, new byte[1]))
        .isInstanceOf(IllegalStateException.class);
  }

  @Test
  void evictsOnlyReleasedChunksOfRunningAnswer() {
    // Guards against a gap in the answer of a slow caller: the agent evicts chunks that have not
    // been relayed yet.
    StreamBuffer buffer = bufferWithChunks("a", 10, 1);
    buffer.append(10, new byte[1]);
    assertThat(buffers.hasRoom()).isFalse();
    assertThat(buffer.read(0, 1)).hasSize(1);

    buffer.acknowledge(4);
    buffer.append(11, new byte[1]);

    assertThat(buffer.read(4, 20)).hasSize(8);
    assertPositionLost(buffer, 0);
  }

  @Test
  void evictsRelayedAnswerBeforeUnreadOne() {
    StreamBuffer unread = bufferWithChunks("unread", 4, 1);
    unread.end(AnswerEnd.success(1));
    StreamBuffer relayed = bufferWithChunks("relayed", 4, 1);
    relayed.acknowledge(4);
    relayed.end(AnswerEnd.success(1));

    bufferWithChunks("running", 4, 1);

    assertThat(buffers.find("relayed")).isEmpty();
    assertThat(buffers.find("unread")).isPresent();
    assertThat(buffers.bytes()).isEqualTo(8);
    assertPositionLost(relayed, 0);
  }

  @Test
  void evictsOldestFinishedAnswerAboveMaximumCount() {
    for (String attempt : new String[] {"a", "b", "c"}) {
      buffers.open(attempt).end(AnswerEnd.success(0));
    }

    assertThat(buffers.find("a")).isEmpty();
    assertThat(buffers.find("c")).isPresent();
  }

  @Test
  void refusesSecondBufferOfAttempt() {
    buffers.open("a");

    assertThatThrownBy(() -> buffers.open("a")).isInstanceOf(IllegalStateException.class);
  }

  private StreamBuffer bufferWithChunks(String attemptId, int chunks, int length) {
    StreamBuffer buffer = buffers.open(attemptId);
    for (int number = 0; number < chunks; number++) {
      buffer.append(number, new byte[length]);
    }
    return buffer;
  }

  private static void assertPositionLost(StreamBuffer buffer, long from) {
    assertThatThrownBy(() -> buffer.read(from, 1))
        .isInstanceOfSatisfying(
            ResultException.class,
            failure -> assertThat(failure.code()).isEqualTo(ResultCode.STREAM_POSITION_LOST));
  }
}
