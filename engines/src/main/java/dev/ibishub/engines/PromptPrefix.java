package dev.ibishub.engines;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The prefixes under which engines cache a prompt and report cache events: its first 64 characters,
 * 128, 256 and so on, each by its hash. Thread-safe.
 */
public final class PromptPrefix {
  /** Length of the shortest prefix, in characters. */
  public static final int SHORTEST = 64;

  private static final int LEVELS = 8;

  private PromptPrefix() {}

  /** The lengths, in characters and growing, of the prefixes that a prompt has. */
  public static List<Integer> lengths(String prompt) {
    return Stream.iterate(SHORTEST, length -> length * 2)
        .limit(LEVELS)
        .takeWhile(length -> length <= prompt.length())
        .collect(Collectors.toUnmodifiableList());
  }

  /** The hash of a prompt's first characters. */
  public static long hash(String prompt, int length) {
    return Hashing.xxh3_64().hashCharsToLong(prompt.substring(0, length));
  }
}
