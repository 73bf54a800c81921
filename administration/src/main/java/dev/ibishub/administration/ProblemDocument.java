package dev.ibishub.administration;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import java.util.Locale;

/**
 * Problem documents of RFC 9457 that report failures, with their result code, to callers and
 * operators.
 */
public final class ProblemDocument {
  /** Media type of problem documents. */
  public static final String CONTENT_TYPE = "application/problem+json";

  private ProblemDocument() {}

  /**
   * Creates the problem document of a failure.
   *
   * @param failure the failure
   * @return an object with {@code type}, {@code title}, {@code status}, {@code detail}, {@code
   *     resultCode}, {@code outcome}, and {@code retryAt} if the failure gives a time to retry
   */
  public static ObjectNode of(ResultException failure) {
    ResultCode code = failure.code();
    ObjectNode problem =
        Json.object()
            .put("type", "about:blank")
            .put("title", toWords(code))
            .put("status", code.httpStatus())
            .put("detail", failure.getMessage())
            .put("resultCode", code.number())
            .put("outcome", toWords(code.outcome()));
    failure.retryAt().ifPresent(at -> problem.put("retryAt", at.toString()));
    return problem;
  }

  private static String toWords(Enum<?> name) {
    return name.name().toLowerCase(Locale.ROOT).replace('_', ' ');
  }
}
