package dev.ibishub.administration;

import static java.nio.charset.StandardCharsets.UTF_8;

import dev.ibishub.settings.OperatorSettings;
import java.security.MessageDigest;
import java.util.List;
import java.util.Optional;

/** Authentication of operators by their bearer tokens. Thread-safe. */
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
   * Finds the operator of a request. The given token is compared with the token of every operator,
   * each time in full and in constant time, so that response times reveal nothing about a token.
   *
   * @param authorization the value of the {@code Authorization} header, or null
   * @return the operator, or empty if the header holds no operator's token
   */
  public Optional<OperatorSettings> authenticate(String authorization) {
    if (authorization == null || !authorization.startsWith(PREFIX)) {
      return Optional.empty();
    }
    byte[] token = authorization.substring(PREFIX.length()).strip().getBytes(UTF_8);
    return operators.stream()
        .filter(operator -> MessageDigest.isEqual(token, operator.token().getBytes(UTF_8)))
        .reduce((one, two) -> one);
  }
}
