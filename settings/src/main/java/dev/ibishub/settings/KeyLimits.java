package dev.ibishub.settings;

import java.math.BigDecimal;

/** Descriptions of keys' limits, as used in faults and docs/CONFIGURATION.md. */
final class KeyLimits {
  private KeyLimits() {}

  static String describe(Key key) {
    return switch (key.type()) {
      case TEXT -> key.format().description();
      case TEXT_LIST ->
          (key.minimum() > 0 ? "at least " + decimal(key.minimum()) : "")
              + (key.format().description().isEmpty() ? "" : " each " + key.format().description())
                  .strip();
      case INTEGER, NUMBER -> decimal(key.minimum()) + " to " + decimal(key.maximum());
      case BOOLEAN -> "true or false";
      case OBJECT, OBJECT_LIST -> "";
    };
  }

  private static String decimal(double number) {
    return BigDecimal.valueOf(number).stripTrailingZeros().toPlainString();
  }
}
