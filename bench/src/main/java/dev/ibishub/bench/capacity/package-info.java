/** Measures how the cost of state and decisions grows with the size of an installation. */
package dev.ibishub.bench.capacity;
