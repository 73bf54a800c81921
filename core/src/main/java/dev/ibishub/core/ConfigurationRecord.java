package dev.ibishub.core;

/** A record of the log's stream {@code configuration}. */
public sealed interface ConfigurationRecord permits ConfigurationChange, ConfigurationSnapshot {
  /** Returns the unique name that the record's writer drew for it. */
  String recordId();
}
