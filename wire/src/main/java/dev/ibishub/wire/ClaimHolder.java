package dev.ibishub.wire;

import dev.ibishub.core.AnswerEnd;
import dev.ibishub.core.ProcessIncarnation;
import dev.ibishub.core.ResultCode;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Tells an entry, at the end of an attempt, which process claimed the call before. */
public final class ClaimHolder {
  private static final String HEADER = "ibishub-claim-holder";

  private ClaimHolder() {}

  /** Returns the end of an attempt whose call another process holds. */
  public static AnswerEnd end(ProcessIncarnation holder) {
    return new AnswerEnd(
        ResultCode.ALREADY_RUNNING,
        "another process claimed this key first",
        0,
        0,
        Optional.empty(),
        0,
        0,
        Map.of(HEADER, List.of(holder.process() + "/" + holder.incarnation())));
  }

  /** Returns the process that an end names, if it names one. */
  public static Optional<ProcessIncarnation> of(AnswerEnd end) {
    return end.headers().getOrDefault(HEADER, List.of()).stream()
        .findFirst()
        .map(
            text -> {
              int slash = text.lastIndexOf('/');
              return new ProcessIncarnation(
                  text.substring(0, slash), Long.parseLong(text.substring(slash + 1)));
            });
  }
}
