package dev.ibishub.entry;

import dev.ibishub.core.AnswerEnd;
import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Records what a caller receives; can simulate a caller that has disconnected. */
final class RecordingAnswerWriter implements AnswerWriter {
  final List<String> events = new ArrayList<>();
  boolean disconnected;
  boolean isOfService;
  ResultCode failedWith;

  @Override
  public void writeChunk(String stream, long number, byte[] data) throws IOException {
    if (disconnected) {
      throw new IOException("connection reset");
    }
    events.add(number + ":" + new String(data, StandardCharsets.UTF_8));
  }

  @Override
  public boolean isResumable() {
    return true;
  }

  @Override
  public void restart() {
    events.add("restart");
  }

  @Override
  public boolean isWholeWith(AnswerEnd end) {
    return !isOfService || ServiceAnswerWriter.isFinalStatus(end.httpStatus());
  }

  @Override
  public void succeed(AnswerEnd end) {
    events.add("end " + end.chunkCount());
  }

  @Override
  public void fail(ResultException failure) {
    failedWith = failure.code();
    events.add("failed " + failure.code());
  }
}
