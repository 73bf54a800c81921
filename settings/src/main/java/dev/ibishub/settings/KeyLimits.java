package dev.ibishub.settings;

import java.math.BigDecimal;

/** The words that faults and docs/CONFIGURATION.md use for a key's limits. */
final class KeyLimits {
  private KeyLimits() {}

  static String words(Key key) {
    return switch (key.type()) {
      case TEXT -> key.form().words();
      case TEXT_LIST ->
          (key.minimum() > 0 ? "at least " + plain(key.minimum()) : "")
              + (key.form().words().isEmpty() ? "" : " each " + key.form().words()).strip();
      case INTEGER, NUMBER -> plain(key.minimum()) + " to " + plain(key.maximum());
      case BOOLEAN -> "true or false";
      case OBJECT, OBJECT_LIST -> "";
    };
  }

  private static String plain(double number) {
    return BigDecimal.valueOf(number).stripTrailingZeros().toPlainString();
  }
}
