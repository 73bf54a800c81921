package dev.ibishub.settings;

/** How a line of a program's own log is written. */
public enum LogFormat {
  KEY_VALUE,
  JSON;

  static LogFormat of(String text) {
    return text.equals("json") ? JSON : KEY_VALUE;
  }
}
