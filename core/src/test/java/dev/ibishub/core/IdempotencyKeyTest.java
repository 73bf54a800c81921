package dev.ibishub.core;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class IdempotencyKeyTest {
  @Test
  void parsesTimeOfUuidVersionSeven() {
    // The example of RFC 9562, appendix A.6.
    IdempotencyKey key = IdempotencyKey.parse("017F22E2-79B0-7CC3-98C4-DC0C0C07398F");

    assertThat(key.createdAt()).isEqualTo(Instant.parse("2022-02-22T19:22:22Z"));
  }

  @Test
  void parsesTimeBeforeSlash() {
    IdempotencyKey key = IdempotencyKey.parse("2026-01-31T08:00:00Z/incentive/17");

    assertThat(key.createdAt()).isEqualTo(Instant.parse("2026-01-31T08:00:00Z"));
    assertThat(key.text()).isEqualTo("2026-01-31T08:00:00Z/incentive/17");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "incentive-17",
        "/x",
        "yesterday/x",
        "+1000000000-12-31T23:59:59Z/x",
        "1969-12-31T23:59:59Z/x",
        "9c5b94b1-35ad-49bb-b118-8e8fc24abf80"
      })
  void refusesKeyWithoutValidTime(String text) {
    assertThatThrownBy(() -> IdempotencyKey.parse(text))
        .isInstanceOfSatisfying(
            ResultException.class,
            refusal -> assertThat(refusal.code()).isEqualTo(ResultCode.MALFORMED_REQUEST));
  }
}
