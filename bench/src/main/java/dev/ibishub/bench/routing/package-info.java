/** Measures the choice of targets on stale and incomplete reports. */
package dev.ibishub.bench.routing;
