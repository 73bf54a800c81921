package dev.ibishub.administration;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import java.util.Locale;

/** Failures as callers and operators see them: problem JSON of RFC 9457 with the result code. */
public final class ProblemDocument {
  /** The media type. */
  public static final String CONTENT_TYPE = "application/problem+json";

  private ProblemDocument() {}

  /**
   * Makes the document of a failure.
   *
   * @param failure the failure
   * @return {@code title}, {@code status}, {@code detail}, {@code resultCode}, {@code outcome}, and
   *     {@code retryAt} where the failure says when to come back
   */
  public static ObjectNode of(ResultException failure) {
    ResultCode code = failure.code();
    ObjectNode problem =
        Json.object()
            .put("type", "about:blank")
            .put("title", words(code))
            .put("status", code.httpStatus())
            .put("detail", failure.getMessage())
            .put("resultCode", code.number())
            .put("outcome", words(code.outcome()));
    failure.retryAt().ifPresent(at -> problem.put("retryAt", at.toString()));
    return problem;
  }

  private static String words(Enum<?> name) {
    return name.name().toLowerCase(Locale.ROOT).replace('_', ' ');
  }
}
