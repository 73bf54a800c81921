/**
 * Which entries there are, and which of them an entry links to, on the platform of the users. Times
 * are milliseconds of one monotonic clock, passed in by the caller.
 */
package dev.ibishub.core.entries;
