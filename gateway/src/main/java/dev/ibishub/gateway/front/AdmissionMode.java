package dev.ibishub.gateway.front;

import dev.ibishub.core.serving.admission.AdmissionPolicy;
import java.util.Locale;

/** For which services requests are subject to admission. */
public enum AdmissionMode {
  /** For services with engines whose routes differ in priority or latency objective. */
  AUTOMATIC,
  /** As {@link #AUTOMATIC}, and requests may wait at the entry for room at the engines. */
  QUEUE,
  /** For all services with engines whose timing is stated. */
  ON,
  /** For none. */
  OFF;

  /** Returns the policy by which requests are admitted. */
  AdmissionPolicy policy() {
    return new AdmissionPolicy(this == QUEUE);
  }

  /**
   * Returns the mode of a setting.
   *
   * @throws IllegalArgumentException for any other text
   */
  public static AdmissionMode of(String setting) {
    return valueOf(setting.toUpperCase(Locale.ROOT));
  }
}
