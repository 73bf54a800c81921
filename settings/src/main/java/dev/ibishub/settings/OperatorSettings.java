package dev.ibishub.settings;

import java.util.Locale;

/**
 * An operator who may use the operator API of an entry.
 *
 * @param name the name that the audit trail shows
 * @param token the bearer token; secret, so it is left out of {@link #toString}
 * @param role what the operator may do
 */
public record OperatorSettings(String name, String token, Role role) {
  /** What an operator may do; each role may do what the ones before it may. */
  public enum Role {
    /** Reads configuration, status and audit trail. */
    VIEWER,
    /** Also publishes configuration and drains targets. */
    OPERATOR,
    /** Also does what a later release keeps for administrators. */
    ADMIN
  }

  static OperatorSettings of(Section section) {
    return new OperatorSettings(
        section.text("name"),
        section.text("token"),
        Role.valueOf(section.text("role").toUpperCase(Locale.ROOT)));
  }

  @Override
  public String toString() {
    return "OperatorSettings[name=" + name + ", role=" + role + "]";
  }
}
