package dev.ibishub.entry;

import dev.ibishub.core.AnswerEnd;
import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A caller that notes all it gets, or that is gone. */
final class RecordedAnswer implements Answer {
  final List<String> events = new ArrayList<>();
  boolean gone;
  ResultCode failedWith;

  @Override
  public void piece(String stream, long number, byte[] data) throws IOException {
    if (gone) {
      throw new IOException("connection reset");
    }
    events.add(number + ":" + new String(data, StandardCharsets.UTF_8));
  }

  @Override
  public boolean isJoinable() {
    return true;
  }

  @Override
  public void restart() {
    events.add("restart");
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
