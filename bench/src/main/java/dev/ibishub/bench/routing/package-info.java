/** Measures how targets are chosen on late and partial knowledge. */
package dev.ibishub.bench.routing;
