package dev.ibishub.settings;

import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Keys that an object may have, in the order of docs/CONFIGURATION.md. */
record ObjectSchema(Map<String, Key> keys) {
  /** Maximum edit distance at which a known key is suggested for an unknown one. */
  private static final int MAXIMUM_EDIT_DISTANCE = 4;

  static ObjectSchema of(Key... keys) {
    return new ObjectSchema(
        Arrays.stream(keys)
            .collect(
                Collectors.toMap(
                    Key::name, Function.identity(), (one, two) -> one, LinkedHashMap::new)));
  }

  /** Returns this schema with all keys but one made optional and without defaults. */
  ObjectSchema partial(String requiredKey) {
    return of(
        keys.values().stream()
            .map(key -> key.name().equals(requiredKey) ? key : key.optional())
            .toArray(Key[]::new));
  }

  /**
   * Returns the known key with the smallest edit distance to an unknown one; empty if none is
   * close.
   */
  Optional<String> nearestKey(String unknown) {
    return keys.keySet().stream()
        .min(Comparator.comparingInt(known -> editDistance(unknown, known)))
        .filter(
            known ->
                editDistance(unknown, known)
                    <= Math.min(MAXIMUM_EDIT_DISTANCE, known.length() - 1));
  }

  private static int editDistance(String from, String to) {
    int[] previous = IntStream.rangeClosed(0, to.length()).toArray();
    for (int i = 1; i <= from.length(); i++) {
      int[] current = new int[to.length() + 1];
      current[0] = i;
      for (int j = 1; j <= to.length(); j++) {
        int replaced = previous[j - 1] + (from.charAt(i - 1) == to.charAt(j - 1) ? 0 : 1);
        current[j] = Math.min(replaced, 1 + Math.min(previous[j], current[j - 1]));
      }
      previous = current;
    }
    return previous[to.length()];
  }
}
