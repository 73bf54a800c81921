/** Measures goodput when demand exceeds capacity. */
package dev.ibishub.bench.overload;
