/** Measures how fast entries notice what became of each other. */
package dev.ibishub.bench.membership;
