package dev.ibishub.core;

import java.time.DateTimeException;
import java.time.Instant;
import java.util.UUID;

/**
 * A caller's idempotency key, which contains the time of its creation. The claim of a key is kept
 * for a limited time; without its age, a key that is sent again later would run the call twice.
 *
 * <p>Two forms are accepted: a UUID of version 7 (RFC 9562), whose first 48 bits are the time, and
 * {@code 2026-01-31T08:00:00Z/any-text} for callers that choose names of their own.
 *
 * @param text the key as the caller sent it
 * @param createdAt when the caller created it, by the caller's clock
 */
public record IdempotencyKey(String text, Instant createdAt) {
  private static final int MAXIMUM_LENGTH = 255;
  private static final Instant LATEST_TIME = Instant.parse("9999-12-31T23:59:59Z");
  private static final int TIMESTAMPED_UUID_VERSION = 7;
  private static final int TIMESTAMP_SHIFT_BITS = 16;

  /** Checks the length of the text and the range of the time. */
  public IdempotencyKey {
    if (text.isEmpty() || text.length() > MAXIMUM_LENGTH) {
      throw malformed("it must have 1 to " + MAXIMUM_LENGTH + " characters");
    }
    if (createdAt.isBefore(Instant.EPOCH) || createdAt.isAfter(LATEST_TIME)) {
      throw malformed("its time must lie between the years 1970 and 9999");
    }
  }

  /**
   * Parses a key.
   *
   * @param text the value of the header {@code Idempotency-Key}
   * @return the key
   * @throws ResultException with {@code MALFORMED_REQUEST} if the text has neither form, is too
   *     long or has a time out of range
   */
  public static IdempotencyKey parse(String text) {
    int slash = text.indexOf('/');
    return new IdempotencyKey(
        text, slash < 0 ? timeOfUuid(text) : timeOfPrefix(text.substring(0, slash)));
  }

  private static Instant timeOfUuid(String text) {
    try {
      UUID uuid = UUID.fromString(text);
      if (uuid.version() == TIMESTAMPED_UUID_VERSION) {
        return Instant.ofEpochMilli(uuid.getMostSignificantBits() >>> TIMESTAMP_SHIFT_BITS);
      }
    } catch (IllegalArgumentException expected) {
      // Not a UUID: reported below.
    }
    throw malformed("it must be a UUID of version 7 or begin with the time and a slash");
  }

  private static Instant timeOfPrefix(String prefix) {
    try {
      return Instant.parse(prefix);
    } catch (DateTimeException e) {
      throw malformed("the time before the slash must look like 2026-01-31T08:00:00Z");
    }
  }

  private static ResultException malformed(String why) {
    return new ResultException(ResultCode.MALFORMED_REQUEST, "Idempotency-Key: " + why);
  }
}
