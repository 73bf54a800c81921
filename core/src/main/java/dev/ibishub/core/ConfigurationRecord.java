package dev.ibishub.core;

/** A record of the log's stream {@code configuration}. */
public sealed interface ConfigurationRecord permits ConfigurationChange, ConfigurationSnapshot {
  /** Returns the unique id that the record's writer gave it. */
  String recordId();
}
