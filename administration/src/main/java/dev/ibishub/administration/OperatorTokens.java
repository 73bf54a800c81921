package dev.ibishub.administration;

import static java.nio.charset.StandardCharsets.UTF_8;

import dev.ibishub.settings.OperatorSettings;
import java.security.MessageDigest;
import java.util.List;
import java.util.Optional;

/** Knows operators by their bearer tokens. Thread-safe. */
public final class OperatorTokens {
  private static final String PREFIX = "Bearer ";

  private final List<OperatorSettings> operators;

  private OperatorTokens(List<OperatorSettings> operators) {
    this.operators = List.copyOf(operators);
  }

  public static OperatorTokens of(List<OperatorSettings> operators) {
    return new OperatorTokens(operators);
  }

  /**
   * Finds the operator of a request. Every token is compared in full and in constant time, so that
   * the time taken tells nothing about a token.
   *
   * @param authorization the header {@code Authorization}, or null
   * @return the operator, or empty where the header names none
   */
  public Optional<OperatorSettings> authenticate(String authorization) {
    if (authorization == null || !authorization.startsWith(PREFIX)) {
      return Optional.empty();
    }
    byte[] given = authorization.substring(PREFIX.length()).strip().getBytes(UTF_8);
    return operators.stream()
        .filter(operator -> MessageDigest.isEqual(given, operator.token().getBytes(UTF_8)))
        .reduce((one, two) -> one);
  }
}
