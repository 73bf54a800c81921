/**
 * The decisions on one caller's request: which target gets it, whether it is refused, whether it
 * may be sent again. Times are milliseconds of one monotonic clock, handed in by the caller.
 */
package dev.ibishub.core.serving;
