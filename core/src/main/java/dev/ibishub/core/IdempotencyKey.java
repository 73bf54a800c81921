package dev.ibishub.core;

import java.time.DateTimeException;
import java.time.Instant;
import java.util.UUID;

/**
 * A caller's idempotency key, which says when it was made. The claim of a key is remembered for a
 * limited time only; without its age, a key that comes back after that would run a second time.
 *
 * <p>Two forms are taken: a UUID of version 7 (RFC 9562), whose first 48 bits are the time, and
 * {@code 2026-01-31T08:00:00Z/any-text} for callers with names of their own.
 *
 * @param text the key as the caller sent it
 * @param createdAt when the caller made it, by the caller's clock
 */
public record IdempotencyKey(String text, Instant createdAt) {
  private static final int MAXIMUM_LENGTH = 255;
  private static final Instant LATEST = Instant.parse("9999-12-31T23:59:59Z");
  private static final int TIME_ORDERED_VERSION = 7;
  private static final int TIME_SHIFT = 16;

  /** Checks the length and that the time is one that can be reckoned with. */
  public IdempotencyKey {
    if (text.isEmpty() || text.length() > MAXIMUM_LENGTH) {
      throw malformed("it must have 1 to " + MAXIMUM_LENGTH + " characters");
    }
    if (createdAt.isBefore(Instant.EPOCH) || createdAt.isAfter(LATEST)) {
      throw malformed("its time must lie between the years 1970 and 9999");
    }
  }

  /**
   * Reads a key.
   *
   * @param text the value of the header {@code Idempotency-Key}
   * @return the key
   * @throws ResultException with {@code MALFORMED_REQUEST} when it has neither form
   */
  public static IdempotencyKey parse(String text) {
    int slash = text.indexOf('/');
    return new IdempotencyKey(
        text, slash < 0 ? timeOfUuid(text) : timeOfPrefix(text.substring(0, slash)));
  }

  private static Instant timeOfUuid(String text) {
    try {
      UUID uuid = UUID.fromString(text);
      if (uuid.version() == TIME_ORDERED_VERSION) {
        return Instant.ofEpochMilli(uuid.getMostSignificantBits() >>> TIME_SHIFT);
      }
    } catch (IllegalArgumentException expected) {
      // Not a UUID at all.
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
