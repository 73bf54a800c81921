/** Parts of the expert-map switch and of the expert planner, behind {@code dev.ibishub.core}. */
package dev.ibishub.core.internal.experts;
