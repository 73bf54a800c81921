package dev.ibishub.settings;

import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** The keys that an object may have, in the order of the page. */
record ObjectSchema(Map<String, Key> keys) {
  /** Beyond this many edits a known key is no likely meaning of an unknown one. */
  private static final int MAXIMUM_EDITS = 4;

  static ObjectSchema of(Key... keys) {
    return new ObjectSchema(
        Arrays.stream(keys)
            .collect(
                Collectors.toMap(
                    Key::name, Function.identity(), (one, two) -> one, LinkedHashMap::new)));
  }

  /** Returns this schema with all keys but one free to be left out and without defaults. */
  ObjectSchema partial(String needed) {
    return of(
        keys.values().stream()
            .map(key -> key.name().equals(needed) ? key : key.optional())
            .toArray(Key[]::new));
  }

  /** Finds the known key that needs the fewest edits to become the given one. */
  Optional<String> nearest(String unknown) {
    return keys.keySet().stream()
        .min(Comparator.comparingInt(known -> edits(unknown, known)))
        .filter(known -> edits(unknown, known) <= Math.min(MAXIMUM_EDITS, known.length() - 1));
  }

  private static int edits(String from, String to) {
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
