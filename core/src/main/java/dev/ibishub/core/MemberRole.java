package dev.ibishub.core;

/** What a process does. */
public enum MemberRole {
  ENTRY,
  AGENT
}
