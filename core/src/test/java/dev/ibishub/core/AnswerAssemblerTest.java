package dev.ibishub.core;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.zip.CRC32C;
import org.junit.jupiter.api.Test;

class AnswerAssemblerTest {
  private final AnswerAssembler answer = AnswerAssembler.forAttempt("a", 4);

  @Test
  void returnsRepeatedAndReorderedChunksOnceAndInOrder() {
    // Guards against duplicated text in an answer: a chunk arrives twice and is relayed twice.
    assertThat(answer.accept("a", 1, bytes("b"))).isEmpty();
    assertThat(answer.accept("a", 1, bytes("b"))).isEmpty();
    assertThat(answer.accept("a", 0, bytes("a"))).containsExactly(bytes("a"), bytes("b"));
    assertThat(answer.accept("a", 0, bytes("a"))).isEmpty();

    assertThat(answer.end("a", endOf("ab", 2))).contains(ResultCode.OK);
  }

  @Test
  void completesAnswerWithChunkAfterEnd() {
    answer.accept("a", 0, bytes("a"));
    assertThat(answer.end("a", endOf("ab", 2))).isEmpty();

    assertThat(answer.accept("a", 1, bytes("b"))).containsExactly(bytes("b"));
    assertThat(answer.result()).contains(ResultCode.OK);
  }

  @Test
  void ignoresChunksOfAnotherAttempt() {
    answer.accept("a", 0, bytes("a"));

    assertThat(answer.accept("other", 1, bytes("x"))).isEmpty();
    assertThat(answer.end("other", endOf("ax", 2))).isEmpty();
    assertThat(answer.nextNumber()).isEqualTo(1);
  }

  @Test
  void detectsChangedChunkByChecksum() {
    answer.accept("a", 0, bytes("x"));

    assertThat(answer.end("a", endOf("a", 1))).contains(ResultCode.ANSWER_CORRUPTED);
  }

  @Test
  void detectsChunkBeyondCount() {
    answer.accept("a", 0, bytes("a"));
    answer.accept("a", 2, bytes("c"));

    assertThat(answer.end("a", endOf("a", 1))).contains(ResultCode.ANSWER_CORRUPTED);
  }

  @Test
  void failsOnChunkOutsideWindow() {
    assertThat(answer.accept("a", 4, bytes("x"))).isEmpty();

    assertThat(answer.result()).contains(ResultCode.ANSWER_CORRUPTED);
  }

  @Test
  void returnsFailureOfAgent() {
    AnswerEnd failed =
        AnswerEnd.failure(new ResultException(ResultCode.ENGINE_FAILED, "engine gone"));

    assertThat(answer.end("a", failed)).contains(ResultCode.ENGINE_FAILED);
    assertThat(answer.accept("a", 0, bytes("late"))).isEmpty();
  }

  private static AnswerEnd endOf(String text, long count) {
    CRC32C checksum = new CRC32C();
    checksum.update(bytes(text));
    return AnswerEnd.success(1).withTotals(count, (int) checksum.getValue());
  }

  private static byte[] bytes(String text) {
    return text.getBytes(UTF_8);
  }
}
