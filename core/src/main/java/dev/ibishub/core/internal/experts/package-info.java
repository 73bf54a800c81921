/** Internals of the expert-map switch and the expert planner of {@code dev.ibishub.core}. */
package dev.ibishub.core.internal.experts;
