/**
 * Expert maps of a group whose engines switch by themselves: where the experts should be, and how
 * all ranks get from one map to the next at the same step. Times are milliseconds of one monotonic
 * clock, handed in by the caller.
 */
package dev.ibishub.core.ranks;
