/**
 * The decisions about one caller's request on the platform of the users: which target gets it,
 * whether it is refused, and whether it may be sent again. Times are milliseconds of one monotonic
 * clock, passed in by the caller.
 */
package dev.ibishub.core.serving;
