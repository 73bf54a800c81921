package dev.ibishub.engines;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The prompt prefixes that engines cache and report in cache events: the first 64, 128, 256 and so
 * on characters of a prompt, each identified by its hash. Thread-safe.
 */
public final class PromptPrefix {
  /** The length of the shortest prefix, in characters. */
  public static final int SHORTEST_CHARACTERS = 64;

  private static final int MAXIMUM_PREFIXES = 8;

  private PromptPrefix() {}

  /**
   * Returns the lengths of a prompt's prefixes in characters, in ascending order; empty for a
   * prompt shorter than the shortest prefix.
   */
  public static List<Integer> lengths(String prompt) {
    return Stream.iterate(SHORTEST_CHARACTERS, length -> length * 2)
        .limit(MAXIMUM_PREFIXES)
        .takeWhile(length -> length <= prompt.length())
        .collect(Collectors.toUnmodifiableList());
  }

  /** Returns the hash of the prompt's first {@code length} characters. */
  public static long hash(String prompt, int length) {
    return Hashing.xxh3_64().hashCharsToLong(prompt.substring(0, length));
  }
}
