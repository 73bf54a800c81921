/** Measures what is answered in time when more is asked for than there is. */
package dev.ibishub.bench.overload;
