/**
 * Decides which requests are kept from targets because they crash them, from what ran at targets
 * that ended. Deterministic, without I/O. Times are milliseconds of one monotonic clock, passed in
 * by the caller.
 */
package dev.ibishub.core.serving.crashes;
