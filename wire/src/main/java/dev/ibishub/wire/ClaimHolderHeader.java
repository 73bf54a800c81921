package dev.ibishub.wire;

import dev.ibishub.core.AnswerEnd;
import dev.ibishub.core.ProcessIncarnation;
import dev.ibishub.core.ResultCode;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Names, in a header of an attempt's end, the process that holds the claim on a call that may run
 * only once. Used between agents and entries, behind ibishub's own interface.
 */
public final class ClaimHolderHeader {
  private static final String CLAIM_HOLDER_HEADER = "ibishub-claim-holder";

  private ClaimHolderHeader() {}

  /** Returns the end of an attempt that did not run because another process holds the claim. */
  public static AnswerEnd alreadyRunning(ProcessIncarnation holder) {
    return new AnswerEnd(
        ResultCode.ALREADY_RUNNING,
        "another process claimed this key first",
        0,
        0,
        Optional.empty(),
        0,
        0,
        Map.of(CLAIM_HOLDER_HEADER, List.of(holder.process() + "/" + holder.incarnation())));
  }

  /** Returns the claim holder that an end names; empty when it has no such header. */
  public static Optional<ProcessIncarnation> holderOf(AnswerEnd end) {
    return end.headers().getOrDefault(CLAIM_HOLDER_HEADER, List.of()).stream()
        .findFirst()
        .map(
            text -> {
              int slash = text.lastIndexOf('/');
              return new ProcessIncarnation(
                  text.substring(0, slash), Long.parseLong(text.substring(slash + 1)));
            });
  }
}
