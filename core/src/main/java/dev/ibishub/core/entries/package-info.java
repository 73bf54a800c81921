/**
 * Which entries there are and which of them an entry talks to. Times are milliseconds of one
 * monotonic clock, handed in by the caller.
 */
package dev.ibishub.core.entries;
