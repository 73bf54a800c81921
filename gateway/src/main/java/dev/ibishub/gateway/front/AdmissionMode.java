package dev.ibishub.gateway.front;

import java.util.Locale;

/** For which services requests are subject to admission. */
public enum AdmissionMode {
  /** For services with engines whose routes differ in priority or latency objective. */
  AUTOMATIC,
  /** For all services with engines whose timing is stated. */
  ON,
  /** For none. */
  OFF;

  /**
   * Returns the mode of a setting.
   *
   * @throws IllegalArgumentException for any other text
   */
  public static AdmissionMode of(String setting) {
    return valueOf(setting.toUpperCase(Locale.ROOT));
  }
}
