package dev.ibishub.settings;

/** Format of the lines of a process's own log. */
public enum LogFormat {
  KEY_VALUE,
  JSON;

  static LogFormat of(String text) {
    return text.equals("json") ? JSON : KEY_VALUE;
  }
}
