/**
 * Expert placement on the platform of ibishub's users, where engines switch maps at an armed step
 * by themselves: planning of maps, and the protocol that moves all ranks from one map to the next
 * at the same step. Times are milliseconds of one monotonic clock, passed in by the caller.
 */
package dev.ibishub.core.ranks;
