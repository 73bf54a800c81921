package dev.ibishub.settings;

import java.util.Locale;

/**
 * Operator who may use the operator API of an entry.
 *
 * @param name the name shown in the audit trail
 * @param token the bearer token; secret, so {@link #toString} omits it
 * @param role what the operator may do
 */
public record OperatorSettings(String name, String token, Role role) {
  /** Permissions of an operator; each role includes those of the roles before it. */
  public enum Role {
    /** Reads configuration, status and audit trail. */
    VIEWER,
    /** Also publishes configuration, drains targets and evacuates zones. */
    OPERATOR,
    /** Reserved for administrative actions of later releases; also has all permissions above. */
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
